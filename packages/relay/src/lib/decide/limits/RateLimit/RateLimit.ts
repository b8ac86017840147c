import type { Milliseconds } from '@apricotrill/utils';
import { limitOptions } from '../limitOptions.js';

const SECOND: Milliseconds = 1_000;

/** Bounds the debt, in bursts, so that earlier excess requests do not keep a replica idle for long. */
const MAX_DEBT_BURSTS = 4;

/** Absorbs floating-point error in the accumulated tokens. */
const ROUNDING_TOLERANCE = 1e-6;

/**
 * Token bucket for the requests to one replica. Requests sent by other daemons can drive the balance
 * negative; no request is allowed until the debt is paid off.
 *
 * @example
 * ```ts
 * const limit = new RateLimit(2, clock.now());
 * if (limit.hasToken(now)) {
 *   limit.take(now);
 * }
 * ```
 */
export class RateLimit {
  private tokens = 0;

  /** @param rate - requests per second */
  constructor(
    private rate: number,
    private refilledAt: Milliseconds,
  ) {}

  get perSecond(): number {
    return this.rate;
  }

  setRate(rate: number, now: Milliseconds): void {
    this.refill(now);
    this.rate = rate;
    this.tokens = Math.min(this.tokens, this.capacity);
  }

  hasToken(now: Milliseconds): boolean {
    this.refill(now);
    return this.tokens >= 1 - ROUNDING_TOLERANCE;
  }

  take(now: Milliseconds): void {
    this.refill(now);
    this.tokens = Math.max(this.tokens - 1, -MAX_DEBT_BURSTS * this.capacity);
  }

  private get capacity(): number {
    return Math.max(1, this.rate * limitOptions.burstSeconds);
  }

  private refill(now: Milliseconds): void {
    const elapsed = Math.max(0, now - this.refilledAt);
    this.tokens = Math.min(this.capacity, this.tokens + (elapsed * this.rate) / SECOND);
    this.refilledAt = now;
  }
}
