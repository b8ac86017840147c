import type { SourceUsage } from '../SourceUsage.js';

/** Windows that are kept at most, against daemons whose clocks are far off. */
const MOST_WINDOWS = 64;

/**
 * The counts of all daemons, as far as this one was told.
 *
 * @public
 */
export class FleetUsage {
  private readonly windows = new Map<number, Map<string, Map<string, number>>>();

  private oldest = 0;

  /** Takes in the counts of one daemon; the order and repeats do not matter. */
  merge({ source, window, counts }: SourceUsage): void {
    if (window < this.oldest) {
      return;
    }
    const sources = this.windows.get(window) ?? new Map<string, Map<string, number>>();
    if (!this.windows.has(window) && this.windows.size >= MOST_WINDOWS) {
      return;
    }
    this.windows.set(window, sources);
    const known = sources.get(source) ?? new Map<string, number>();
    sources.set(source, known);
    counts.forEach(([workspace, count]) => {
      known.set(workspace, Math.max(known.get(workspace) ?? 0, count));
    });
  }

  /** The sum over all daemons, by workspace. */
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

  forgetBefore(window: number): void {
    this.oldest = Math.max(this.oldest, window);
    [...this.windows.keys()]
      .filter((kept) => kept < window)
      .forEach((old) => this.windows.delete(old));
  }
}
