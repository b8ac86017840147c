import type { Milliseconds } from '@apricotrill/utils';

/** Number of buckets that the window is divided into. */
const BUCKETS = 20;

/** Part of the ratio that is used, since the windows of other daemons end at different times. */
const RATIO_SAFETY_FACTOR = 0.8;

interface Bucket {
  index: number;
  requests: number;
  retries: number;
}

/** Limits on the retries of one service. */
export interface RetryLimits {
  ratio: number;
  window: Milliseconds;
  /** Retries allowed in one window in addition to the ratio. */
  slack: number;
}

/**
 * Limits the retries of one service in any window to a ratio of its requests and a small slack.
 * When a whole service fails, every request would be retried, and the daemons would multiply its
 * load when it can handle the least. Each daemon applies the ratio to its own requests, so
 * that the daemons together keep to it without coordination.
 */
export class RetryBudget {
  private limits: RetryLimits;

  private buckets: Bucket[] = [];

  constructor(limits: RetryLimits) {
    this.limits = limits;
  }

  setLimits(limits: RetryLimits): void {
    this.limits = limits;
  }

  /** Records a new request to the service. */
  recordRequest(now: Milliseconds): void {
    this.getBucket(now).requests += 1;
  }

  /**
   * Takes one retry from the budget.
   *
   * @returns false if the budget is exhausted
   */
  tryTake(now: Milliseconds): boolean {
    if (this.getRemaining(now) < 1) {
      return false;
    }
    this.getBucket(now).retries += 1;
    return true;
  }

  /** Returns a retry that was taken and has not been sent. */
  giveBack(now: Milliseconds): void {
    this.getBucket(now);
    const taken = this.buckets.findLast(({ retries }) => retries > 0);
    if (taken !== undefined) {
      taken.retries -= 1;
    }
  }

  /** Number of retries that may be sent now. */
  getRemaining(now: Milliseconds): number {
    this.getBucket(now);
    const requests = this.buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    const retries = this.buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    return this.limits.ratio * RATIO_SAFETY_FACTOR * requests + this.limits.slack - retries;
  }

  private getBucket(now: Milliseconds): Bucket {
    const index = Math.floor((now * BUCKETS) / this.limits.window);
    this.buckets = this.buckets.filter((bucket) => bucket.index > index - BUCKETS);
    const last = this.buckets.at(-1);
    if (last?.index === index) {
      return last;
    }
    const bucket = { index, requests: 0, retries: 0 };
    this.buckets.push(bucket);
    return bucket;
  }
}
