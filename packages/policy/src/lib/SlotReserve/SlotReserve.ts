import type { Milliseconds } from '@apricotrill/utils';

/** The part of its share that a daemon may always use while slots are reserved. */
const GUARANTEED_RATIO_WITH_RESERVE = 0.5;

/**
 * How all daemons together use the slots of a replica.
 *
 * @internal
 */
export interface SlotPlan {
  /** The number of slots that are divided among the daemons. */
  shared: number;
  /** The load up to which slots are lent to daemons beyond their shares. */
  targetLoad: number;
  /** The part of its share that a daemon may always use. */
  guaranteedRatio: number;
}

/**
 * Options of the reserve.
 *
 * @internal
 */
export interface SlotReserveOptions {
  /** Slots are reserved for tiers up to this one. */
  preemptingTier: number;
  /** The fraction of the slots of a replica that is reserved. */
  reservedSlotRatio: number;
  /** The fraction of its slots that may additionally be queued at a replica while none is reserved. */
  replicaQueueRatio: number;
  /** How long slots stay reserved after the last request of either kind. */
  reserveRetention: Milliseconds;
}

/**
 * Decides whether a service reserves slots for requests of preempting tiers. Without a reserve, long
 * responses fill every slot of an overloaded service. A short request then waits until one of them
 * ends or is preempted, and preemption costs more than a free slot, because the prompt of the
 * preempted request is computed twice. Slots are reserved only while requests of both kinds arrive.
 *
 * @internal
 */
export class SlotReserve {
  private readonly options: SlotReserveOptions;

  private lastPreemptingAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private lastPreemptibleAt: Milliseconds = Number.NEGATIVE_INFINITY;

  private isActive = false;

  constructor(options: SlotReserveOptions) {
    this.options = options;
  }

  /**
   * Records the arrival of a request.
   *
   * @returns whether this activated or deactivated the reserve
   */
  recordRequest(tier: number, now: Milliseconds): boolean {
    if (tier <= this.options.preemptingTier) {
      this.lastPreemptingAt = now;
    } else {
      this.lastPreemptibleAt = now;
    }
    const wasActive = this.isActive;
    const oldest = Math.min(this.lastPreemptingAt, this.lastPreemptibleAt);
    this.isActive = now - oldest <= this.options.reserveRetention;
    return this.isActive !== wasActive;
  }

  /** Returns how the slots of a replica are used. */
  getPlan(slots: number): SlotPlan {
    if (this.isActive) {
      const unreservedSlots = slots - Math.floor(slots * this.options.reservedSlotRatio);
      return {
        shared: unreservedSlots,
        targetLoad: unreservedSlots,
        guaranteedRatio: GUARANTEED_RATIO_WITH_RESERVE,
      };
    }
    const maxQueued = Math.ceil(slots * this.options.replicaQueueRatio);
    return { shared: slots, targetLoad: slots + maxQueued, guaranteedRatio: 1 };
  }
}
