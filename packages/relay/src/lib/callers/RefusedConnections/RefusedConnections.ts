import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { Counter } from 'prom-client';
import type { RelayLog } from '../../observe/RelayEvent.js';

/** Limits on the log lines about refused connections. */
export const refusedConnectionOptions = {
  /** Time within which connections are combined in one line. */
  interval: 1_000 satisfies Milliseconds,
};

/** Dependencies of {@link RefusedConnections}. */
export interface RefusedConnectionsParts {
  clock: Clock;
  log: RelayLog;
  /** Why they are closed, which is the event of the lines. */
  event: 'connections-refused' | 'connections-exceeded';
  counter: Pick<Counter, 'inc'>;
}

/**
 * Counts the connections that are closed for one reason, and logs how many there were. Their callers see a connection
 * that ends without a response, and no other line tells of them.
 *
 * @example
 * ```ts
 * const refused = new RefusedConnections({ clock, log, event, counter });
 * refused.record();
 * refused.report(); // before the process ends
 * ```
 */
export class RefusedConnections {
  private count = 0;

  private firstAt: Milliseconds = 0;

  private timer: Timer | undefined;

  constructor(private readonly parts: RefusedConnectionsParts) {}

  record(): void {
    const { clock, counter } = this.parts;
    counter.inc();
    this.count += 1;
    if (this.timer === undefined) {
      this.firstAt = clock.now();
      this.timer = clock.setTimer(refusedConnectionOptions.interval, () => this.report());
    }
  }

  /** Logs the connections that no line has told of yet. */
  report(): void {
    const { clock, event, log } = this.parts;
    this.timer?.cancel();
    this.timer = undefined;
    if (this.count > 0) {
      log({ event, count: this.count, span: clock.now() - this.firstAt });
      this.count = 0;
    }
  }
}
