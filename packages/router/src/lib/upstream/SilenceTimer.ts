import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * Notices a connection that has gone silent: something between the two ends has lost track of it,
 * no error ever comes, and the caller would wait for good. Each sign of life moves the limit; one
 * timer serves the whole attempt, so that tokens cost a clock reading and no timer.
 *
 * @internal
 */
export class SilenceGuard {
  private last: Milliseconds;

  private allowed: Milliseconds;

  private timer: Timer | undefined;

  private readonly clock: Clock;

  private readonly onSilence: () => void;

  /**
   * @param clock - where time comes from
   * @param firstTimeout - silence allowed until the first sign of life
   * @param onSilence - called once when the silence has lasted too long
   */
  constructor(clock: Clock, firstTimeout: Milliseconds, onSilence: () => void) {
    this.clock = clock;
    this.allowed = firstTimeout;
    this.onSilence = onSilence;
    this.last = clock.now();
    this.arm(firstTimeout);
  }

  /** Something came: from now on `timeout` of silence is allowed. */
  touch(timeout: Milliseconds): void {
    this.last = this.clock.now();
    if (timeout < this.allowed && this.timer !== undefined) {
      this.timer.cancel();
      this.arm(timeout);
    }
    this.allowed = timeout;
  }

  /** Nothing is expected for now, because we are not reading; {@link resume} ends that. */
  pause(): void {
    this.timer?.cancel();
    this.timer = undefined;
  }

  resume(): void {
    this.last = this.clock.now();
    this.arm(this.allowed);
  }

  dispose(): void {
    this.pause();
  }

  private arm(delay: Milliseconds): void {
    this.timer = this.clock.setTimer(delay, () => this.check());
  }

  private check(): void {
    const left = this.last + this.allowed - this.clock.now();
    if (left <= 0) {
      this.timer = undefined;
      this.onSilence();
      return;
    }
    this.arm(left);
  }
}
