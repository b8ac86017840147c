import type { Clock, Milliseconds } from '@apricotrill/utils';
import { defaultRouterOptions } from '../../options.js';

/**
 * Reports the progress of one attempt to the scheduler: immediately for the first token, then at most
 * once per interval with all tokens since the last report. The scheduler only needs to know that an
 * attempt is alive and how fast it is; a report per token would cost as much as reading the token.
 *
 * @internal
 */
export class ProgressReporter {
  private readonly clock: Clock;

  private readonly report: (tokens: number) => void;

  private unreportedTokens = 0;

  private reportedAt: Milliseconds = -Infinity;

  /** @param report - called with the number of tokens since the last report */
  constructor(clock: Clock, report: (tokens: number) => void) {
    this.clock = clock;
    this.report = report;
  }

  /** Adds tokens that were delivered; 0 while the attempt only waits for its caller. */
  add(tokens: number): void {
    this.unreportedTokens += tokens;
    const now = this.clock.now();
    if (now - this.reportedAt >= defaultRouterOptions.progressInterval) {
      this.reportedAt = now;
      this.flush();
    }
  }

  /** Reports the remaining tokens; must be called before the end of the attempt is reported. */
  end(): void {
    if (this.unreportedTokens > 0) {
      this.flush();
    }
  }

  private flush(): void {
    const { unreportedTokens: tokens } = this;
    this.unreportedTokens = 0;
    this.report(tokens);
  }
}
