import type { Milliseconds } from '@apricotrill/utils';

/** The window is counted in this many steps. */
const STEPS = 20;

/** A part of the ratio is left unused: other daemons' windows don't end when ours do. */
const SAFE_PART = 0.8;

interface Count {
  step: number;
  requests: number;
  repeats: number;
}

/** What bounds the repeats of one service. */
export interface RetryLimits {
  ratio: number;
  window: Milliseconds;
  /** Repeats beyond the ratio in one window. */
  slack: number;
}

/**
 * Bounds the repeats of one service in any window: at most a part of the requests for it, and a few
 * more. When a service fails as a whole, every request asks to be repeated, and the daemons would
 * send it a multiple of its load just when it can take least. Each daemon keeps to the ratio of its
 * own requests, so that all together keep to it without a word among them.
 */
export class RetryBudget {
  private parts: RetryLimits;

  private counts: Count[] = [];

  constructor(parts: RetryLimits) {
    this.parts = parts;
  }

  setLimits(parts: RetryLimits): void {
    this.parts = parts;
  }

  /** A request of the service arrived. */
  recordRequest(now: Milliseconds): void {
    this.getCount(now).requests += 1;
  }

  /**
   * Takes one repeat.
   *
   * @returns false when the allowance is spent
   */
  tryTake(now: Milliseconds): boolean {
    if (this.getRemaining(now) < 1) {
      return false;
    }
    this.getCount(now).repeats += 1;
    return true;
  }

  /** Repeats that may be sent now. */
  getRemaining(now: Milliseconds): number {
    this.getCount(now);
    const requests = this.counts.reduce((sum, count) => sum + count.requests, 0);
    const repeats = this.counts.reduce((sum, count) => sum + count.repeats, 0);
    return this.parts.ratio * SAFE_PART * requests + this.parts.slack - repeats;
  }

  private getCount(now: Milliseconds): Count {
    const step = Math.floor((now * STEPS) / this.parts.window);
    this.counts = this.counts.filter((count) => count.step > step - STEPS);
    const last = this.counts.at(-1);
    if (last?.step === step) {
      return last;
    }
    const count = { step, requests: 0, repeats: 0 };
    this.counts.push(count);
    return count;
  }
}
