import type { Milliseconds, Random } from '@apricotrill/utils';
import type { SlotPlan } from '../SlotReserve/SlotReserve.js';
import type { Share } from './SharedLimit.js';

const NO_SHARE: Share = { isAssigned: false, slots: 0, daemonCount: 1 };

/**
 * The load of a replica: its last load report, corrected for what this daemon sent since.
 *
 * @internal
 */
export interface ObservedLoad {
  load: number;
  /** The part of the load that comes from this daemon. */
  ownLoad: number;
  measuredAt: Milliseconds;
}

/**
 * The number of requests that one daemon may have running at one replica. Without load reports this
 * is the daemon's share. When a report shows free slots, each daemon may use an equal part of them in
 * addition. When a report shows an overload, each daemon reduces its limit in proportion to what it
 * uses: down to its share, or down to half of it if the replica is overloaded although slots are
 * reserved. Equal increases and proportional decreases make the heaviest users give back most, as in
 * the congestion control of TCP (additive increase, multiplicative decrease; Chiu and Jain, 1989).
 * Fractions are rounded at random, so that the parts add up correctly on average.
 *
 * Before rounding, the additional slots of all daemons together never exceed the free slots of a
 * report. Reports lag, however: until the next one, a replica may run requests in additional slots
 * while the daemons whose shares contain these slots use them again, which they always may.
 *
 * @internal
 */
export class SlotAllowance {
  private readonly maxReportAge: Milliseconds;

  private currentShare: Share = NO_SHARE;

  private plan: SlotPlan = { shared: 0, targetLoad: 0, guaranteedRatio: 1 };

  private adjustedLimit: { slots: number; at: Milliseconds } | undefined;

  /** @param maxReportAge - how long an adjusted limit is valid without a further report */
  constructor(maxReportAge: Milliseconds) {
    this.maxReportAge = maxReportAge;
  }

  get share(): Share {
    return this.currentShare;
  }

  /** Sets this daemon's share, and the plan by which all daemons use the slots. */
  setShare(share: Share, plan: SlotPlan): void {
    this.currentShare = share;
    this.plan = plan;
  }

  /**
   * Returns the current limit. It is never below the guaranteed part of the share, even if the share
   * has grown since the last report.
   */
  getLimit(now: Milliseconds): number {
    const { adjustedLimit, currentShare } = this;
    return adjustedLimit === undefined || now - adjustedLimit.at > this.maxReportAge
      ? currentShare.slots
      : Math.max(Math.ceil(currentShare.slots * this.plan.guaranteedRatio), adjustedLimit.slots);
  }

  /**
   * Adjusts the limit to a load report. Reports measured before the last adjustment are ignored:
   * otherwise each daemon would claim the same free slots again with every report, until a report
   * shows them in use.
   */
  applyReport(
    { load, ownLoad, measuredAt }: ObservedLoad,
    now: Milliseconds,
    random: Random,
  ): void {
    if (this.adjustedLimit !== undefined && measuredAt < this.adjustedLimit.at) {
      return;
    }
    const freeSlots = this.plan.targetLoad - load;
    const change =
      freeSlots >= 0 ? freeSlots / this.currentShare.daemonCount : (freeSlots * ownLoad) / load;
    this.adjustedLimit = { slots: ownLoad + Math.floor(change + random.next()), at: now };
  }
}
