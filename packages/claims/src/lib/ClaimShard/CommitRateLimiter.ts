import type { Milliseconds } from '@apricotrill/utils';

/**
 * When the next commit may start: once one is asked for, on average no more often than the commit
 * interval, with short bursts so that a lone claim need not wait for the last one's interval.
 */
export class CommitPace {
  private wanted: Milliseconds = Number.POSITIVE_INFINITY;

  /** When the next commit would start if all kept the interval; bursts run ahead of it. */
  private regular: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly options: { commitInterval: Milliseconds; commitBurst: number }) {}

  /** Infinite while nobody asked. */
  get due(): Milliseconds {
    const { commitInterval, commitBurst } = this.options;
    return Math.max(this.wanted, this.regular - (commitBurst - 1) * commitInterval);
  }

  /** Asks for a commit that starts by a time. */
  request(at: Milliseconds): void {
    this.wanted = Math.min(this.wanted, at);
  }

  start(now: Milliseconds): void {
    this.wanted = Number.POSITIVE_INFINITY;
    this.regular = Math.max(this.regular, now) + this.options.commitInterval;
  }
}
