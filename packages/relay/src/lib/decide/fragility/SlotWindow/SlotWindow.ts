import type { Milliseconds } from '@apricotrill/utils';
import { slotWindowOptions } from './slotWindowOptions.js';

/** A number of attempts in flight at a replica, and when it was counted. */
export interface InFlightCount {
  inFlight: number;
  now: Milliseconds;
  /** Whether other daemons may let attempts begin at the replica as well. */
  isShared: boolean;
}

/**
 * Bounds the attempts that one daemon lets a replica have in flight, by what the replica accepts. The bound
 * grows with each response while it is in use, and is halved when the replica turns a request away.
 *
 * A daemon that has sent the replica nothing for a while starts again with one attempt more than it knows of,
 * since another daemon may have filled the slots meanwhile.
 *
 * @example
 * ```ts
 * const window = new SlotWindow(6);
 * window.recordRejected({ inFlight: 4, now, isShared }); // four others are running
 * window.getLimit({ inFlight: 4, now, isShared }); // 2
 * ```
 */
export class SlotWindow {
  private limit: number;

  /** The limit grows no further until {@link raiseAt}. */
  private ceiling: number;

  private raiseAt: Milliseconds = 0;

  private raiseInterval: Milliseconds = slotWindowOptions.minRaiseInterval;

  /** By how much the ceiling is raised next. */
  private raiseStep = 1;

  private usedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private reducedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param slots - the attempts that the replica runs at once, as far as it states */
  constructor(private readonly slots: number) {
    this.limit = slots;
    this.ceiling = slots;
  }

  /** The attempts that may be in flight now. */
  getLimit({ inFlight, now, isShared }: InFlightCount): number {
    const isIdle = isShared && now - this.usedAt > slotWindowOptions.idleSpan;
    return isIdle ? Math.min(this.limit, inFlight + 1) : this.limit;
  }

  /** Records an attempt that this daemon let begin. It is counted as in flight. */
  recordSent(count: InFlightCount): void {
    const others = { ...count, inFlight: count.inFlight - 1 };
    this.limit = Math.max(1, this.getLimit(others));
    this.usedAt = count.now;
  }

  /** Records an attempt to which the replica responds. It is counted as in flight. */
  recordAccepted({ inFlight, now }: InFlightCount): void {
    if (inFlight * 2 < this.limit) {
      return;
    }
    if (this.limit < this.ceiling) {
      this.limit += 1;
    } else if (now >= this.raiseAt) {
      this.ceiling = Math.min(this.slots, this.ceiling + this.raiseStep);
      this.limit = Math.min(this.ceiling, this.limit + 1);
      this.raiseStep *= 2;
      this.raiseAt = now + this.raiseInterval;
    }
  }

  /** Records an attempt that the replica turned away. It is not counted as in flight. */
  recordRejected({ inFlight, now }: InFlightCount): void {
    const { burstSpan, maxRaiseInterval } = slotWindowOptions;
    this.ceiling = Math.max(1, Math.min(this.ceiling, inFlight));
    this.limit = Math.min(this.limit, this.ceiling);
    // Requests that were on their way together are one reason to send less.
    if (now - this.reducedAt > burstSpan) {
      this.limit = Math.max(1, Math.floor(this.limit / 2));
      this.raiseInterval = Math.min(maxRaiseInterval, this.raiseInterval * 2);
    }
    this.reducedAt = now;
    this.raiseStep = 1;
    this.raiseAt = now + this.raiseInterval;
  }
}
