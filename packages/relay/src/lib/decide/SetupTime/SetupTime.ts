import type { Milliseconds } from '@apricotrill/utils';
import { getQuantile } from './getQuantile.js';
import { WaitFit } from './WaitFit.js';

/** Options for measuring the setup time. */
export const setupTimeOptions = {
  /** Value before the first measurement. */
  initial: 80 satisfies Milliseconds,
  /** Weight of the initial value, in samples. */
  initialWeight: 2,
  /** Number of most recent samples that count. */
  maxSamples: 40,
  /** The quantile that is used; longer samples include waiting for other requests. */
  quantile: 0.2,
};

/**
 * Measures the minimum wait for a first token, however few tokens have to be prefilled: the setup
 * of the request and one step.
 */
export class SetupTime {
  private readonly samples: Milliseconds[] = Array<number>(setupTimeOptions.initialWeight).fill(
    setupTimeOptions.initial,
  );

  private current: Milliseconds = setupTimeOptions.initial;

  private readonly longWaits = new WaitFit();

  /** @param wait - the wait for a first token, minus the prefill time */
  record(wait: Milliseconds): void {
    this.samples.push(Math.max(0, wait));
    if (this.samples.length > setupTimeOptions.maxSamples) {
      this.samples.shift();
    }
    this.current = getQuantile(this.samples, setupTimeOptions.quantile);
  }

  /** Records the wait of a long prompt, which shows the setup time as long as no short one was seen. */
  recordLong(tokensAhead: number, wait: Milliseconds): void {
    this.longWaits.record(tokensAhead, wait);
  }

  get value(): Milliseconds {
    const hasShort = this.samples.length > setupTimeOptions.initialWeight;
    if (hasShort || !this.longWaits.hasSamples) {
      return this.current;
    }
    // While all waits are alike, they count as prefill: a rate that is too low fills no queue.
    return this.longWaits.intercept ?? 0;
  }
}
