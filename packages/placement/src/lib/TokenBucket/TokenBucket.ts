import type { Milliseconds } from '@apricotrill/utils';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * The limits of a token bucket.
 *
 * @internal
 */
export interface TokenBucketOptions {
  /** Refill rate. */
  tokensPerSecond: number;
  /** Maximum number of tokens. */
  capacity: number;
  /** Tokens available at the start. */
  initialTokens: number;
}

/**
 * A token bucket rate limiter without timers or I/O; the caller passes the current time.
 *
 * @example
 * ```ts
 * const bucket = new TokenBucket(
 *   { tokensPerSecond: 2, capacity: 1, initialTokens: 0 },
 *   clock.now(),
 * );
 * if (bucket.tryTake(clock.now())) send();
 * ```
 * @internal
 */
export class TokenBucket {
  private tokens: number;

  private tokensPerSecond: number;

  private pausedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly options: TokenBucketOptions,
    private refilledAt: Milliseconds,
  ) {
    this.tokens = options.initialTokens;
    this.tokensPerSecond = options.tokensPerSecond;
  }

  /** Takes one token if one is available. */
  tryTake(now: Milliseconds): boolean {
    if (now < this.getNextAvailableAt(now)) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  /** When the next token can be taken; `now` if one is available. */
  getNextAvailableAt(now: Milliseconds): Milliseconds {
    this.refill(now);
    const wait =
      this.tokens >= 1 ? 0 : ((1 - this.tokens) / this.tokensPerSecond) * MILLISECONDS_PER_SECOND;
    return Math.max(now + wait, this.pausedUntil);
  }

  /** Pauses until the given time and then starts empty, as the service has no spare capacity. */
  pauseUntil(at: Milliseconds): void {
    this.pausedUntil = Math.max(this.pausedUntil, at);
    this.tokens = 0;
    this.refilledAt = Math.max(this.refilledAt, at);
  }

  /** Empties the bucket, as another process may just have used the whole rate. */
  drain(now: Milliseconds): void {
    this.refill(now);
    this.tokens = 0;
  }

  /** Changes the refill rate from now on. */
  setRate(tokensPerSecond: number, now: Milliseconds): void {
    this.refill(now);
    this.tokensPerSecond = tokensPerSecond;
  }

  private refill(now: Milliseconds): void {
    const elapsed = Math.max(0, now - this.refilledAt);
    const refilled = this.tokens + (elapsed * this.tokensPerSecond) / MILLISECONDS_PER_SECOND;
    this.tokens = Math.min(this.options.capacity, refilled);
    this.refilledAt = Math.max(this.refilledAt, now);
  }
}
