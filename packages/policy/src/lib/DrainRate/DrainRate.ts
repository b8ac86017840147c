import type { Milliseconds } from '@apricotrill/utils';

interface Window {
  busy: Milliseconds;
  dispatches: number;
}

/** After this much time without anything waiting, the past says nothing about the next queue. */
const FORGET_AFTER: Milliseconds = 30_000;

const EMPTY: Window = { busy: 0, dispatches: 0 };

/**
 * How fast the queue of one class drains: dispatches over the time in which anything of it waited.
 * It contains whatever slows the class down, more urgent tiers and slow replicas alike.
 *
 * @internal
 */
export class DrainRate {
  private readonly window: Milliseconds;

  private current: Window = EMPTY;

  private previous: Window = EMPTY;

  private busySince: Milliseconds | undefined;

  private idleSince: Milliseconds | undefined;

  /** @param window - over which busy time the rate is observed */
  constructor(window: Milliseconds) {
    this.window = window;
  }

  /** Notes whether anything of the class waits. */
  setWaiting(isWaiting: boolean, now: Milliseconds): void {
    if (!isWaiting) {
      this.settle(now);
      this.idleSince ??= now;
      this.busySince = undefined;
      return;
    }
    if (this.idleSince !== undefined && now - this.idleSince > FORGET_AFTER) {
      this.current = EMPTY;
      this.previous = EMPTY;
    }
    this.idleSince = undefined;
    this.busySince ??= now;
  }

  /** Notes a dispatch of a request that had waited. */
  note(now: Milliseconds): void {
    this.settle(now);
    this.current = { ...this.current, dispatches: this.current.dispatches + 1 };
  }

  /**
   * Dispatches a millisecond.
   *
   * @param minBusy - time that must have been observed
   * @returns undefined while too little was observed
   */
  get(now: Milliseconds, minBusy: Milliseconds): number | undefined {
    this.settle(now);
    const busy = this.current.busy + this.previous.busy;
    if (busy < minBusy) {
      return undefined;
    }
    return Math.max(1, this.current.dispatches + this.previous.dispatches) / busy;
  }

  /** Counts the busy time up to now, and starts a new window when this one is full. */
  private settle(now: Milliseconds): void {
    if (this.busySince === undefined) {
      return;
    }
    this.current = { ...this.current, busy: this.current.busy + now - this.busySince };
    this.busySince = now;
    if (this.current.busy >= this.window) {
      this.previous = this.current;
      this.current = EMPTY;
    }
  }
}
