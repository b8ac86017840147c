import type { SourceUsage } from '../SourceUsage.js';

/** Limits memory use when daemons with badly wrong clocks report arbitrary windows. */
const MAX_WINDOWS = 64;

/**
 * The usage counts of all daemons, as received by this one.
 *
 * @public
 */
export class FleetUsage {
  private readonly windows = new Map<number, Map<string, Map<string, number>>>();

  private oldestWindow = 0;

  /**
   * Merges the counts of one daemon. Each count keeps its maximum, so updates may arrive repeatedly
   * and in any order.
   */
  merge({ source, window, counts }: SourceUsage): void {
    if (window < this.oldestWindow) {
      return;
    }
    const sources = this.windows.get(window) ?? new Map<string, Map<string, number>>();
    if (!this.windows.has(window) && this.windows.size >= MAX_WINDOWS) {
      return;
    }
    this.windows.set(window, sources);
    const knownCounts = sources.get(source) ?? new Map<string, number>();
    sources.set(source, knownCounts);
    counts.forEach(([workspace, count]) => {
      knownCounts.set(workspace, Math.max(knownCounts.get(workspace) ?? 0, count));
    });
  }

  /** Returns the sum over all daemons, by workspace. */
  getCounts(window: number): Record<string, number> {
    const sums: Record<string, number> = {};
    this.windows.get(window)?.forEach((counts) =>
      counts.forEach((count, workspace) => {
        sums[workspace] = (sums[workspace] ?? 0) + count;
      }),
    );
    return sums;
  }

  has(window: number): boolean {
    return this.windows.has(window);
  }

  /** Drops the windows before the given one and ignores later updates to them. */
  evictBefore(window: number): void {
    this.oldestWindow = Math.max(this.oldestWindow, window);
    [...this.windows.keys()]
      .filter((other) => other < window)
      .forEach((expired) => this.windows.delete(expired));
  }
}
