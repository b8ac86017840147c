import type { Milliseconds } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';

type BudgetOptions = Pick<
  PolicyOptions,
  'retryRatio' | 'retryBurst' | 'minRetriesPerSecond' | 'urgentRetryShare'
>;

const ONE_SECOND: Milliseconds = 1000;

/**
 * Limits the retries of one service by a token bucket. When an entire service fails, every request
 * would be retried, and the daemons would multiply the load of the service when it can handle least.
 * Each success adds a fraction of a retry, and each retry takes one. The bucket holds a burst, so
 * that all requests of one crashed replica can be retried at others.
 *
 * @internal
 */
export class RetryBudget {
  private readonly options: BudgetOptions;

  private tokens: number;

  private lastRefillAt: Milliseconds;

  /** @param now - the current time; the bucket starts full */
  constructor(options: BudgetOptions, now: Milliseconds) {
    this.options = options;
    this.tokens = options.retryBurst;
    this.lastRefillAt = now;
  }

  /** The number of retries left. */
  get available(): number {
    return this.tokens;
  }

  /** Adds the fraction of a retry that a successful request allows. */
  recordSuccess(): void {
    this.addTokens(this.options.retryRatio);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param isUrgent - whether the request may use the part reserved for urgent tiers
   * @returns false if the budget is exhausted
   */
  tryTake(now: Milliseconds, isUrgent: boolean): boolean {
    const { minRetriesPerSecond, retryBurst, urgentRetryShare } = this.options;
    this.addTokens(((now - this.lastRefillAt) / ONE_SECOND) * minRetriesPerSecond);
    this.lastRefillAt = now;
    const reserve = isUrgent ? 0 : retryBurst * urgentRetryShare;
    if (this.tokens < 1 + reserve) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private addTokens(tokens: number): void {
    this.tokens = Math.min(this.options.retryBurst, this.tokens + tokens);
  }
}
