import type { Milliseconds } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';

type BudgetOptions = Pick<
  PolicyOptions,
  'retryRatio' | 'retryBurst' | 'retryTrickle' | 'retryReserve'
>;

const SECOND: Milliseconds = 1000;

/**
 * Bounds the retries of one service. When a service fails as a whole, every request asks for
 * retries, and the daemons would send it several times its load just when it can take least. Each
 * success earns a part of a retry, each retry costs one; the bucket holds a burst, so that the
 * requests of one crashed replica find another.
 *
 * @internal
 */
export class RetryBudget {
  private readonly options: BudgetOptions;

  private tokens: number;

  private filledAt: Milliseconds;

  /** @param now - the present time; the bucket starts full */
  constructor(options: BudgetOptions, now: Milliseconds) {
    this.options = options;
    this.tokens = options.retryBurst;
    this.filledAt = now;
  }

  get available(): number {
    return this.tokens;
  }

  /** A request succeeded. */
  earn(): void {
    this.fill(this.options.retryRatio);
  }

  /**
   * Takes one retry.
   *
   * @param isUrgent - urgent tiers may use the part that is kept for them
   * @returns false when the budget is spent
   */
  take(now: Milliseconds, isUrgent: boolean): boolean {
    const { retryTrickle, retryBurst, retryReserve } = this.options;
    this.fill(((now - this.filledAt) / SECOND) * retryTrickle);
    this.filledAt = now;
    const reserve = isUrgent ? 0 : retryBurst * retryReserve;
    if (this.tokens < 1 + reserve) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private fill(tokens: number): void {
    this.tokens = Math.min(this.options.retryBurst, this.tokens + tokens);
  }
}
