import type { Milliseconds } from '@apricotrill/utils';

/**
 * Determines when the next requested commit may start: on average no more often than the commit
 * interval, with short bursts, so that a single claim need not wait out the interval since the last
 * commit.
 */
export class CommitRateLimiter {
  private requestedAt: Milliseconds = Number.POSITIVE_INFINITY;

  /** When the next commit would start without bursts, which run ahead of it. */
  private nextSlotAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: { commitInterval: Milliseconds; commitBurst: number }) {}

  /** Infinite while no commit is requested. */
  get nextStartAt(): Milliseconds {
    const { commitInterval, commitBurst } = this.options;
    return Math.max(this.requestedAt, this.nextSlotAt - (commitBurst - 1) * commitInterval);
  }

  /** Requests a commit that starts by the given time. */
  request(at: Milliseconds): void {
    this.requestedAt = Math.min(this.requestedAt, at);
  }

  start(now: Milliseconds): void {
    this.requestedAt = Number.POSITIVE_INFINITY;
    this.nextSlotAt = Math.max(this.nextSlotAt, now) + this.options.commitInterval;
  }
}
