import type { Milliseconds } from '@apricotrill/utils';

/**
 * When the next commit may start: once one is asked for, on average no more often than the commit
 * interval, with short bursts so that a lone claim need not wait for the last one's interval.
 */
export class CommitRateLimiter {
  private requestedAt: Milliseconds = Number.POSITIVE_INFINITY;

  /** When the next commit would start if all kept the interval; bursts run ahead of it. */
  private nextSlotAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: { commitInterval: Milliseconds; commitBurst: number }) {}

  /** Infinite while nobody asked. */
  get nextStartAt(): Milliseconds {
    const { commitInterval, commitBurst } = this.options;
    return Math.max(this.requestedAt, this.nextSlotAt - (commitBurst - 1) * commitInterval);
  }

  /** Asks for a commit that starts by a time. */
  request(at: Milliseconds): void {
    this.requestedAt = Math.min(this.requestedAt, at);
  }

  start(now: Milliseconds): void {
    this.requestedAt = Number.POSITIVE_INFINITY;
    this.nextSlotAt = Math.max(this.nextSlotAt, now) + this.options.commitInterval;
  }
}
