import type { Milliseconds } from '@apricotrill/utils';

const SECOND = 1_000;

/**
 * What a bucket allows.
 *
 * @internal
 */
export interface BucketLimits {
  /** Tokens that grow each second. */
  perSecond: number;
  /** The most that gather. */
  capacity: number;
  /** What there is at the start. */
  initial: number;
}

/**
 * Limits a rate, as a state machine without I/O.
 *
 * @example
 * ```ts
 * const bucket = new TokenBucket({ perSecond: 2, capacity: 1, initial: 0 }, clock.now());
 * if (bucket.take(clock.now())) send();
 * ```
 * @internal
 */
export class TokenBucket {
  private tokens: number;

  private perSecond: number;

  private pausedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly limits: BucketLimits,
    private filledAt: Milliseconds,
  ) {
    this.tokens = limits.initial;
    this.perSecond = limits.perSecond;
  }

  /** Takes one token if there is one. */
  take(now: Milliseconds): boolean {
    if (now < this.getNextAt(now)) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** When the next token can be taken; `now` when one is there. */
  getNextAt(now: Milliseconds): Milliseconds {
    this.fill(now);
    const wait = this.tokens >= 1 ? 0 : ((1 - this.tokens) / this.perSecond) * SECOND;
    return Math.max(now + wait, this.pausedUntil);
  }

  /** Gives out nothing until then, and starts from empty: whoever asked for the pause is full. */
  pauseUntil(at: Milliseconds): void {
    this.pausedUntil = Math.max(this.pausedUntil, at);
    this.tokens = 0;
    this.filledAt = Math.max(this.filledAt, at);
  }

  /** Starts from empty, as another process may just have used the rate up. */
  drain(now: Milliseconds): void {
    this.fill(now);
    this.tokens = 0;
  }

  /** Changes the rate from now on. */
  setRate(perSecond: number, now: Milliseconds): void {
    this.fill(now);
    this.perSecond = perSecond;
  }

  private fill(now: Milliseconds): void {
    const span = Math.max(0, now - this.filledAt);
    const grown = this.tokens + (span * this.perSecond) / SECOND;
    this.tokens = Math.min(this.limits.capacity, grown);
    this.filledAt = Math.max(this.filledAt, now);
  }
}
