import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';

/**
 * Lets a task wait until a time or until `wake` is called, whichever comes first. A call made while
 * the task is not waiting ends its next wait at once, so that no wakeup is lost.
 *
 * @internal
 */
export class Wakeup {
  private isWoken = false;

  private endWait: (() => void) | undefined;

  constructor(private readonly clock: Clock) {}

  /** Ends the current wait, or the next one if none is in progress. */
  wake(): void {
    this.isWoken = true;
    this.endWait?.();
  }

  /** Waits until the given time or a wakeup; an infinite time waits for a wakeup alone. */
  async wait(until: Milliseconds): Promise<void> {
    let timer: Timer | undefined;
    if (!this.isWoken) {
      await new Promise<void>((resolve) => {
        this.endWait = resolve;
        if (Number.isFinite(until)) {
          timer = this.clock.setTimer(until - this.clock.now(), resolve);
        }
      });
    }
    timer?.cancel();
    this.endWait = undefined;
    this.isWoken = false;
  }
}
