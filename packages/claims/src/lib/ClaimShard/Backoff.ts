import type { Milliseconds } from '@apricotrill/utils';

/** When to try again at something that does not answer: at once, then ever more rarely. */
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

  /** More than one failure in a row: not merely a lost answer. */
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
