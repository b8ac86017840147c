import type { Milliseconds } from '@apricotrill/utils';

/** Tokens of long prompts that were sent to a replica, with exponential decay. */
export class RecentPrefill {
  private tokens = 0;

  private recordedAt: Milliseconds = 0;

  /** @param halfLife - prompts that were sent this long ago count for half */
  constructor(private readonly halfLife: Milliseconds) {}

  record(tokens: number, now: Milliseconds): void {
    this.tokens = this.getTokens(now) + tokens;
    this.recordedAt = now;
  }

  getTokens(now: Milliseconds): number {
    return this.tokens * 0.5 ** ((now - this.recordedAt) / this.halfLife);
  }

  /**
   * The share of its time that an engine spent on these tokens; above 1 if it is overloaded.
   *
   * @param prefillRate - tokens that it prefills per millisecond
   */
  getShare(prefillRate: number, now: Milliseconds): number {
    return (this.getTokens(now) * Math.LN2) / (this.halfLife * prefillRate);
  }
}
