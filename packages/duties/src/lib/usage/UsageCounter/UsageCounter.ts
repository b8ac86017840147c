import type { Milliseconds } from '@apricotrill/utils';
import { getWindow } from '../SourceUsage.js';
import type { SourceUsage } from '../SourceUsage.js';

/** What a counter needs. */
export interface UsageCounterParts {
  /** The life of this daemon: a restart counts anew. */
  source: string;
  windowSpan: Milliseconds;
}

/**
 * Counts the requests of this daemon that replicas began to run, by window and workspace.
 *
 * @public
 */
export class UsageCounter {
  private readonly windows = new Map<number, Map<string, number>>();

  /** Counts that were not taken yet. */
  private changed = new Map<number, Set<string>>();

  constructor(private readonly parts: UsageCounterParts) {}

  /** @param at - when the replica began, in Unix milliseconds */
  count(workspace: string, at: Milliseconds): void {
    const window = getWindow(at, this.parts.windowSpan);
    const counts = this.windows.get(window) ?? new Map<string, number>();
    this.windows.set(window, counts);
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1);
    const changed = this.changed.get(window) ?? new Set<string>();
    this.changed.set(window, changed);
    changed.add(workspace);
  }

  /** Counts that have changed since the last call. */
  takeChanged(): SourceUsage[] {
    const { changed } = this;
    this.changed = new Map();
    return [...changed].map(([window, workspaces]) => {
      const counts = this.windows.get(window);
      return this.createShare(
        window,
        [...workspaces].map((workspace) => [workspace, counts?.get(workspace) ?? 0]),
      );
    });
  }

  /** All counts of the windows that are kept. */
  getAll(): SourceUsage[] {
    return [...this.windows].map(([window, counts]) => this.createShare(window, [...counts]));
  }

  forgetBefore(window: number): void {
    [...this.windows.keys()]
      .filter((kept) => kept < window)
      .forEach((old) => {
        this.windows.delete(old);
        this.changed.delete(old);
      });
  }

  private createShare(window: number, counts: SourceUsage['counts']): SourceUsage {
    return { source: this.parts.source, window, counts };
  }
}
