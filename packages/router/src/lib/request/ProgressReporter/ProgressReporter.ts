import type { Clock, Milliseconds } from '@apricotrill/utils';
import { routerOptions } from '../../options.js';

/**
 * Tells of the progress of one attempt: at once when it begins, then of all tokens since the last
 * report, now and then. The scheduler needs to know that an attempt is alive and how fast it is,
 * not of each token; a report a token costs as much as reading the token.
 *
 * @internal
 */
export class ProgressReport {
  private readonly clock: Clock;

  private readonly tell: (tokens: number) => void;

  private untold = 0;

  private toldAt: Milliseconds = -Infinity;

  /** @param tell - told how many tokens came since the last report */
  constructor(clock: Clock, tell: (tokens: number) => void) {
    this.clock = clock;
    this.tell = tell;
  }

  /** Tokens went to the caller; 0 while only the caller is waited for. */
  add(tokens: number): void {
    this.untold += tokens;
    const now = this.clock.now();
    if (now - this.toldAt >= routerOptions.progressInterval) {
      this.toldAt = now;
      this.flush();
    }
  }

  /** The attempt is over: its last tokens count before its end does. */
  end(): void {
    if (this.untold > 0) {
      this.flush();
    }
  }

  private flush(): void {
    const { untold } = this;
    this.untold = 0;
    this.tell(untold);
  }
}
