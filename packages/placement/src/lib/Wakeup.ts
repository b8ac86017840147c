import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * Lets a task wait for a time or for a call, whichever comes first. A call made while the task is
 * at work is kept, so that it isn't missed.
 *
 * @internal
 */
export class Wakeup {
  private isDue = false;

  private end: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the wait under way, or the next one at once. */
  wake(): void {
    this.isDue = true;
    this.end?.();
  }

  /** Waits until then at the longest. */
  async wait(until: Milliseconds): Promise<void> {
    let timer: Timer | undefined;
    if (!this.isDue) {
      await new Promise<void>((resolve) => {
        this.end = resolve;
        if (Number.isFinite(until)) {
          timer = this.clock.setTimer(until - this.clock.now(), resolve);
        }
      });
    }
    timer?.cancel();
    this.end = undefined;
    this.isDue = false;
  }
}
