import type { Milliseconds } from '@apricotrill/utils';

interface ObservationWindow {
  busyTime: Milliseconds;
  dispatches: number;
}

/** After the queue has been empty for this long, earlier observations are discarded. */
const RESET_AFTER_IDLE: Milliseconds = 30_000;

const EMPTY_WINDOW: ObservationWindow = { busyTime: 0, dispatches: 0 };

/**
 * Measures how fast the queue of one class drains: dispatches divided by busy time, which is the time
 * during which requests of the class were waiting. The rate reflects everything that slows the class
 * down, such as more urgent tiers and slow replicas.
 *
 * @internal
 */
export class DrainRate {
  private readonly windowLength: Milliseconds;

  private currentWindow: ObservationWindow = EMPTY_WINDOW;

  private previousWindow: ObservationWindow = EMPTY_WINDOW;

  private busySince: Milliseconds | undefined;

  private emptySince: Milliseconds | undefined;

  /** @param windowLength - the busy time that one observation window covers */
  constructor(windowLength: Milliseconds) {
    this.windowLength = windowLength;
  }

  /** Records whether any requests of the class are waiting. */
  setWaiting(isWaiting: boolean, now: Milliseconds): void {
    if (!isWaiting) {
      this.addBusyTime(now);
      this.emptySince ??= now;
      this.busySince = undefined;
      return;
    }
    if (this.emptySince !== undefined && now - this.emptySince > RESET_AFTER_IDLE) {
      this.currentWindow = EMPTY_WINDOW;
      this.previousWindow = EMPTY_WINDOW;
    }
    this.emptySince = undefined;
    this.busySince ??= now;
  }

  /** Records the dispatch of a request that was waiting. */
  recordDispatch(now: Milliseconds): void {
    this.addBusyTime(now);
    this.currentWindow = { ...this.currentWindow, dispatches: this.currentWindow.dispatches + 1 };
  }

  /**
   * Returns the rate in dispatches per millisecond.
   *
   * @param minBusyTime - the busy time that must have been observed
   * @returns undefined if less busy time was observed
   */
  getRate(now: Milliseconds, minBusyTime: Milliseconds): number | undefined {
    this.addBusyTime(now);
    const busyTime = this.currentWindow.busyTime + this.previousWindow.busyTime;
    if (busyTime < minBusyTime) {
      return undefined;
    }
    return Math.max(1, this.currentWindow.dispatches + this.previousWindow.dispatches) / busyTime;
  }

  /** Adds the busy time up to now, and starts a new window if the current one is complete. */
  private addBusyTime(now: Milliseconds): void {
    if (this.busySince === undefined) {
      return;
    }
    this.currentWindow = {
      ...this.currentWindow,
      busyTime: this.currentWindow.busyTime + now - this.busySince,
    };
    this.busySince = now;
    if (this.currentWindow.busyTime >= this.windowLength) {
      this.previousWindow = this.currentWindow;
      this.currentWindow = EMPTY_WINDOW;
    }
  }
}
