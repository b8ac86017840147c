import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * The store from which engines fetch weights, with a rate limit on loads. Engines in one process
 * may share one.
 *
 * @example
 * ```ts
 * const weights = new WeightStore(clock, { maxLoads: 2, period: 60_000 });
 * weights.tryFetch(); // 0: fetch now; above 0: wait that many milliseconds
 * ```
 * @public
 */
export class WeightStore {
  private fetches: Milliseconds[] = [];

  /** @param limit - how many loads may begin within `period` milliseconds */
  constructor(
    private readonly clock: Clock,
    private readonly limit: { maxLoads: number; period: Milliseconds },
  ) {}

  /** @returns 0 if the fetch may begin now and is counted, else the milliseconds to wait */
  tryFetch(): Milliseconds {
    const now = this.clock.now();
    const { maxLoads, period } = this.limit;
    this.fetches = this.fetches.filter((time) => time > now - period);
    if (this.fetches.length < maxLoads) {
      this.fetches.push(now);
      return 0;
    }
    return this.fetches[0]! + period - now;
  }
}
