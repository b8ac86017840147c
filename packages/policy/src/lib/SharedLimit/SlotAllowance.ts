import type { Milliseconds, Random } from '@apricotrill/utils';
import type { SlotPlan } from '../Reserve/Reserve.js';
import type { Share } from './SharedLimit.js';

const NO_SHARE: Share = { isIn: false, slots: 0, contenders: 1 };

/**
 * What a load report says, corrected by what this daemon did since.
 *
 * @internal
 */
export interface ObservedLoad {
  load: number;
  /** How much of it is this daemon's. */
  own: number;
  measuredAt: Milliseconds;
}

/**
 * How many requests one daemon may have running at one replica. Without load reports that is its
 * share. A report that shows free slots lends each daemon its part of them; one that shows more
 * than the slots calls back a part of what each uses: down to its share, or to half of it where
 * slots are kept free and the replica is overloaded all the same. Adding the same for all and
 * taking back in proportion lets those that use most give back most, as TCP's congestion control
 * does (Chiu and Jain, 1989). Parts are rounded at random, so that they add up on average.
 *
 * The parts that daemons are lent never exceed what a report shows free. As reports lag, a replica
 * may for the time of the lag get what was lent and what its owners take back at once: by their
 * shares they could use their slots all along.
 *
 * @internal
 */
export class SlotAllowance {
  private readonly maxAge: Milliseconds;

  private part: Share = NO_SHARE;

  private plan: SlotPlan = { shared: 0, fillable: 0, guaranteed: 1 };

  private allowed: { slots: number; at: Milliseconds } | undefined;

  /** @param maxAge - how long the last change counts without a further report */
  constructor(maxAge: Milliseconds) {
    this.maxAge = maxAge;
  }

  get share(): Share {
    return this.part;
  }

  /** Takes this daemon's part, and how all of them use the slots. */
  setShare(share: Share, plan: SlotPlan): void {
    this.part = share;
    this.plan = plan;
  }

  /** Never below what is guaranteed, also when the share grew since the last report. */
  getLimit(now: Milliseconds): number {
    const { allowed, part } = this;
    return allowed === undefined || now - allowed.at > this.maxAge
      ? part.slots
      : Math.max(Math.ceil(part.slots * this.plan.guaranteed), allowed.slots);
  }

  /**
   * Adjusts the limit. A report that was measured before the last change took effect changes
   * nothing: each daemon would take the same free slot again with every report until the first
   * that shows it taken.
   */
  report({ load, own, measuredAt }: ObservedLoad, now: Milliseconds, random: Random): void {
    if (this.allowed !== undefined && measuredAt < this.allowed.at) {
      return;
    }
    const free = this.plan.fillable - load;
    const change = free >= 0 ? free / this.part.contenders : (free * own) / load;
    this.allowed = { slots: own + Math.floor(change + random.next()), at: now };
  }
}
