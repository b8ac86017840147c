import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * Detects a connection that has gone silent: a device on the network path has lost its state, no error
 * is ever reported, and the caller would wait forever. Activity postpones the timeout. One timer
 * serves the whole attempt, so that a token costs a clock reading but no new timer.
 *
 * @internal
 */
export class SilenceTimer {
  private lastActivityAt: Milliseconds;

  private timeout: Milliseconds;

  private timer: Timer | undefined;

  private readonly clock: Clock;

  private readonly onSilence: () => void;

  /**
   * @param clock - the time source
   * @param firstTimeout - the timeout until the first activity
   * @param onSilence - called once when the timeout has passed without activity
   */
  constructor(clock: Clock, firstTimeout: Milliseconds, onSilence: () => void) {
    this.clock = clock;
    this.timeout = firstTimeout;
    this.onSilence = onSilence;
    this.lastActivityAt = clock.now();
    this.schedule(firstTimeout);
  }

  /** Records activity and sets the timeout that applies from now on. */
  recordActivity(timeout: Milliseconds): void {
    this.lastActivityAt = this.clock.now();
    if (timeout < this.timeout && this.timer !== undefined) {
      this.timer.cancel();
      this.schedule(timeout);
    }
    this.timeout = timeout;
  }

  /** Suspends the timeout while nothing is read, until {@link resume} is called. */
  pause(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  resume(): void {
    this.lastActivityAt = this.clock.now();
    this.schedule(this.timeout);
  }

  dispose(): void {
    this.pause();
  }

  private schedule(delay: Milliseconds): void {
    this.timer = this.clock.setTimer(delay, () => this.check());
  }

  private check(): void {
    const remaining = this.lastActivityAt + this.timeout - this.clock.now();
    if (remaining <= 0) {
      this.timer = undefined;
      this.onSilence();
      return;
    }
    this.schedule(remaining);
  }
}
