/** The median of some numbers; zero when there are none. */
export function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/**
 * The last few measurements of something, and their median: one odd value can't move it.
 *
 * @internal
 */
export class LatencyWindow {
  private readonly capacity: number;

  private values: number[] = [];

  private next = 0;

  private cached: number | undefined;

  private addedSince = 0;

  private readonly tolerance: number;

  /**
   * @param capacity - how many values are kept
   * @param tolerance - how many values may come before the median is computed anew
   */
  constructor(capacity: number, tolerance = 0) {
    this.capacity = capacity;
    this.tolerance = tolerance;
  }

  get size(): number {
    return this.values.length;
  }

  add(value: number): void {
    this.values[this.next] = value;
    this.next = (this.next + 1) % this.capacity;
    this.addedSince += 1;
  }

  clear(): void {
    this.values = [];
    this.next = 0;
    this.cached = undefined;
  }

  /** The median of the last few; zero when there is nothing. */
  getRecentMedian(count: number): number {
    const size = Math.min(count, this.values.length);
    const recent = Array.from({ length: size }, (_, index) => {
      const position = (this.next - 1 - index + this.capacity) % this.capacity;
      return this.values[position]!;
    });
    return getMedian(recent);
  }

  /** The median; zero when there is nothing. */
  getMedian(): number {
    if (this.cached === undefined || this.addedSince > this.tolerance) {
      this.cached = getMedian(this.values);
      this.addedSince = 0;
    }
    return this.cached;
  }
}
