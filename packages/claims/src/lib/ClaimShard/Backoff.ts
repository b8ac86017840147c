import type { Milliseconds } from '@apricotrill/utils';

/** When to try again at something that does not answer: at once, then ever more rarely. */
export class Backoff {
  private failures = 0;

  private next: Milliseconds = Number.NEGATIVE_INFINITY;

  /**
   * @param first - the wait after the second failure in a row
   * @param limit - the longest wait
   */
  constructor(
    private readonly first: Milliseconds,
    private readonly limit: Milliseconds,
  ) {}

  get due(): Milliseconds {
    return this.next;
  }

  get isFailing(): boolean {
    return this.failures > 0;
  }

  /** More than one failure in a row: not merely a lost answer. */
  get isDown(): boolean {
    return this.failures > 1;
  }

  fail(now: Milliseconds): void {
    const wait = this.failures === 0 ? 0 : this.first * 2 ** (this.failures - 1);
    this.next = now + Math.min(wait, this.limit);
    this.failures += 1;
  }

  succeed(): void {
    this.failures = 0;
    this.next = Number.NEGATIVE_INFINITY;
  }
}
