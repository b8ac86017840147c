import type { Milliseconds } from '@apricotrill/utils';

/** Options for fitting waits for first tokens. */
export const waitFitOptions = {
  /** Part of the weight of earlier samples that is retained with each new one. */
  retained: 0.97,
  /** Minimum weight of all samples. */
  minWeight: 6,
  /** Minimum standard deviation of the tokens ahead, as a ratio of their mean. */
  minSpread: 0.2,
};

/**
 * Fits waits for first tokens by a line over the tokens ahead, and gets the wait without any prefill.
 *
 * Load pattern: all prompts are long, so that no wait shows the setup time by itself. With a setup time
 * that is too long, the prefill rate that is derived from the rest of each wait is too high.
 */
export class WaitFit {
  private weight = 0;

  private sumX = 0;

  private sumY = 0;

  private sumXX = 0;

  private sumXY = 0;

  record(tokensAhead: number, wait: Milliseconds): void {
    const { retained } = waitFitOptions;
    this.weight = this.weight * retained + 1;
    this.sumX = this.sumX * retained + tokensAhead;
    this.sumY = this.sumY * retained + wait;
    this.sumXX = this.sumXX * retained + tokensAhead * tokensAhead;
    this.sumXY = this.sumXY * retained + tokensAhead * wait;
  }

  get hasSamples(): boolean {
    return this.weight > 0;
  }

  /** The wait without any prefill; undefined while the samples don't show it. */
  get intercept(): Milliseconds | undefined {
    const { weight, sumX, sumY } = this;
    if (weight < waitFitOptions.minWeight) {
      return undefined;
    }
    const meanX = sumX / weight;
    const meanY = sumY / weight;
    const variance = this.sumXX / weight - meanX * meanX;
    const covariance = this.sumXY / weight - meanX * meanY;
    if (variance < (waitFitOptions.minSpread * meanX) ** 2 || covariance <= 0) {
      return undefined;
    }
    return Math.max(0, meanY - (covariance / variance) * meanX);
  }
}
