import type { Milliseconds } from '@apricotrill/utils';

/** The part of its share that a daemon gives up last while a reserve has to be kept free. */
const GUARANTEED_BESIDE_RESERVE = 0.5;

/**
 * How the slots of a replica are to be used by the daemons together.
 *
 * @internal
 */
export interface SlotPlan {
  /** Slots that are divided among the daemons. */
  shared: number;
  /** How many running requests the loans aim at. */
  fillable: number;
  /** The part of its share that a daemon may always use. */
  guaranteed: number;
}

/**
 * What decides on the reserve.
 *
 * @internal
 */
export interface ReserveOptions {
  /** Tiers up to this one are what slots are kept free for. */
  preemptingTier: number;
  /** The part of a replica's slots that is kept free. */
  reserve: number;
  /** What may wait at a replica, as a part of its slots, while nothing is kept free. */
  ahead: number;
  /** How long after the last request of either kind the reserve is kept. */
  reserveMemory: Milliseconds;
}

/**
 * Decides whether a service keeps slots free of less urgent work. Without it long answers fill
 * every slot of an overloaded service, and a short question waits until one of them ends or is
 * stopped, which costs more than the free slot: its prompt is computed twice. The reserve is kept
 * only while requests of both kinds come.
 *
 * @internal
 */
export class Reserve {
  private readonly options: ReserveOptions;

  private lastQuick: Milliseconds = Number.NEGATIVE_INFINITY;

  private lastSlow: Milliseconds = Number.NEGATIVE_INFINITY;

  private active = false;

  constructor(options: ReserveOptions) {
    this.options = options;
  }

  /**
   * Notes a request.
   *
   * @returns whether this changed the reserve
   */
  note(tier: number, now: Milliseconds): boolean {
    if (tier <= this.options.preemptingTier) {
      this.lastQuick = now;
    } else {
      this.lastSlow = now;
    }
    const was = this.active;
    const oldest = Math.min(this.lastQuick, this.lastSlow);
    this.active = now - oldest <= this.options.reserveMemory;
    return this.active !== was;
  }

  /** How the slots of a replica are to be used. */
  getPlan(slots: number): SlotPlan {
    if (this.active) {
      const open = slots - Math.floor(slots * this.options.reserve);
      return { shared: open, fillable: open, guaranteed: GUARANTEED_BESIDE_RESERVE };
    }
    const ahead = Math.ceil(slots * this.options.ahead);
    return { shared: slots, fillable: slots + ahead, guaranteed: 1 };
  }
}
