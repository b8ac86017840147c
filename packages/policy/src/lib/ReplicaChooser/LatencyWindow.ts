/** The median of the values; zero if there are none. */
export function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * A sliding window of measurements and their median, which a single outlier does not move.
 *
 * @internal
 */
export class LatencyWindow {
  private readonly capacity: number;

  private values: number[] = [];

  private nextPosition = 0;

  private cachedMedian: number | undefined;

  private addedSinceMedian = 0;

  private readonly maxAddedSinceMedian: number;

  /**
   * @param capacity - maximum number of values in the window
   * @param maxAddedSinceMedian - how many values may be added before the median is
   *   recomputed
   */
  constructor(capacity: number, maxAddedSinceMedian = 0) {
    this.capacity = capacity;
    this.maxAddedSinceMedian = maxAddedSinceMedian;
  }

  get size(): number {
    return this.values.length;
  }

  add(value: number): void {
    this.values[this.nextPosition] = value;
    this.nextPosition = (this.nextPosition + 1) % this.capacity;
    this.addedSinceMedian += 1;
  }

  clear(): void {
    this.values = [];
    this.nextPosition = 0;
    this.cachedMedian = undefined;
  }

  /** The median of the last `count` values; zero if there are none. */
  getRecentMedian(count: number): number {
    const size = Math.min(count, this.values.length);
    const recent = Array.from({ length: size }, (_, index) => {
      const position = (this.nextPosition - 1 - index + this.capacity) % this.capacity;
      return this.values[position]!;
    });
    return getMedian(recent);
  }

  /** The median of the window, possibly cached; zero if it is empty. */
  getMedian(): number {
    if (this.cachedMedian === undefined || this.addedSinceMedian > this.maxAddedSinceMedian) {
      this.cachedMedian = getMedian(this.values);
      this.addedSinceMedian = 0;
    }
    return this.cachedMedian;
  }
}
