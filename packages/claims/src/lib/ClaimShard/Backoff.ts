import type { Milliseconds } from '@apricotrill/utils';

/**
 * When to retry a call that fails: immediately after the first failure, then with exponentially
 * growing delays. The first failure may be no more than a lost response.
 */
export class Backoff {
  private failures = 0;

  private nextAttempt: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param initialDelay - the delay after the second failure in a row
   * @param maxDelay - the longest delay
   */
  constructor(
    private readonly initialDelay: Milliseconds,
    private readonly maxDelay: Milliseconds,
  ) {}

  get nextAttemptAt(): Milliseconds {
    return this.nextAttempt;
  }

  get isFailing(): boolean {
    return this.failures > 0;
  }

  /** More than one failure in a row, so not just a lost response. */
  get hasRepeatedFailures(): boolean {
    return this.failures > 1;
  }

  recordFailure(now: Milliseconds): void {
    const delay = this.failures === 0 ? 0 : this.initialDelay * 2 ** (this.failures - 1);
    this.nextAttempt = now + Math.min(delay, this.maxDelay);
    this.failures += 1;
  }

  recordSuccess(): void {
    this.failures = 0;
    this.nextAttempt = Number.NEGATIVE_INFINITY;
  }
}
