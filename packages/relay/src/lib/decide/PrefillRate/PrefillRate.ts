import type { Milliseconds } from '@apricotrill/utils';

/** Options for measuring the prefill rate. */
export const prefillRateOptions = {
  /** Tokens per millisecond before the first measurement: the rate of the slower common engines. */
  initial: 40,
  /**
   * Weight of the initial rate, as an equivalent number of prefilled tokens: about two prompts.
   */
  initialWeight: 6_000,
  /** Part of the previous measurements that is retained per thousand tokens prefilled since. */
  retainedPerThousand: 0.99,
  /** Bounds of the measured rate, in tokens per millisecond. */
  min: 2,
  max: 2_000,
};

const THOUSAND = 1_000;

/**
 * Measures how fast prompts are prefilled: the sum of prefilled tokens divided by the sum of the
 * time that this took, with exponential decay of older measurements.
 *
 * The rate has to be measured because no protocol reports it. An engine that is twice as fast as
 * assumed seems to have twice the load. All engines but one then seem to be needed for prefill, and
 * all streams are sent to the remaining one.
 *
 * The ratio of sums is used because prompts are prefilled in chunks, several of them in one step.
 * The time of a single prompt is unreliable: the next prompt may seem to take no time. Over
 * several prompts, these errors cancel out.
 */
export class PrefillRate {
  private tokens = 0;

  private time: Milliseconds = 0;

  /** Weight of the prior rate in tokens, which decays as tokens are prefilled. */
  private priorWeight = prefillRateOptions.initialWeight;

  /** @param prior - gets the rate to assume before the first measurement */
  constructor(private readonly prior: () => number = () => prefillRateOptions.initial) {}

  /**
   * Records the prefill of a prompt.
   *
   * @param tokens - the number of prefilled tokens
   * @param time - the time since the engine could start with it
   */
  record(tokens: number, time: Milliseconds): void {
    const retained = prefillRateOptions.retainedPerThousand ** (tokens / THOUSAND);
    this.tokens = this.tokens * retained + tokens;
    this.time = this.time * retained + Math.max(0, time);
    this.priorWeight *= retained;
  }

  /** Discards all measurements. */
  reset(): void {
    this.tokens = 0;
    this.time = 0;
    this.priorWeight = prefillRateOptions.initialWeight;
  }

  /** Tokens per millisecond. */
  get value(): number {
    const { min, max } = prefillRateOptions;
    const time = this.time + this.priorWeight / this.prior();
    const rate = (this.tokens + this.priorWeight) / time;
    return Math.min(max, Math.max(min, rate));
  }
}
