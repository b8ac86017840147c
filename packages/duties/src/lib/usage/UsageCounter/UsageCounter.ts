import type { Milliseconds } from '@apricotrill/utils';
import { getWindow } from '../SourceUsage.js';
import type { SourceUsage } from '../SourceUsage.js';

export interface UsageCounterSettings {
  /** Identifies this daemon process: counts start from zero after a restart. */
  source: string;
  windowSpan: Milliseconds;
}

/**
 * Counts the requests of this daemon that replicas started, by window and workspace.
 *
 * @public
 */
export class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();

  /** Workspaces by window whose counts changed since the last `takeChanged` call. */
  private changedWorkspaces = new Map<number, Set<string>>();

  constructor(private readonly settings: UsageCounterSettings) {}

  /** @param at - when the replica started the request, in Unix milliseconds */
  count(workspace: string, at: Milliseconds): void {
    const window = getWindow(at, this.settings.windowSpan);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts);
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    const changedWorkspaces = this.changedWorkspaces.get(window) ?? new Set<string>();
    this.changedWorkspaces.set(window, changedWorkspaces);
    changedWorkspaces.add(workspace);
  }

  /** Returns the counts that have changed since the last call. */
  takeChanged(): SourceUsage[] {
    const { changedWorkspaces } = this;
    this.changedWorkspaces = new Map();
    return [...changedWorkspaces].map(([window, workspaces]) => {
      const counts = this.windows.get(window);
      return this.createSourceUsage(
        window,
        [...workspaces].map((workspace) => [workspace, counts?.get(workspace) ?? 0]),
      );
    });
  }

  /** Returns all counts of the retained windows. */
  getAll(): SourceUsage[] {
    return [...this.windows].map(([window, counts]) => this.createSourceUsage(window, [...counts]));
  }

  evictBefore(window: number): void {
    [...this.windows.keys()]
      .filter((other) => other < window)
      .forEach((expired) => {
        this.windows.delete(expired);
        this.changedWorkspaces.delete(expired);
      });
  }

  private createSourceUsage(window: number, counts: SourceUsage['counts']): SourceUsage {
    return { source: this.settings.source, window, counts };
  }
}
