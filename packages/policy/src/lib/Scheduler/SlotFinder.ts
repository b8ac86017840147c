import type { Milliseconds } from '@apricotrill/utils';
import { ChoiceReason } from '../ReplicaChooser/ReplicaChooser.js';
import type { Choice, ReplicaChooser } from '../ReplicaChooser/ReplicaChooser.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunningRequests } from './RunningRequests.js';

/**
 * A place for a request to run.
 *
 * @internal
 */
export interface Slot extends Choice {
  /** The request that has to be stopped for it. */
  victim?: RequestRecord;
  /** What the replica is told as the priority, if not the tier. */
  priority?: number;
}

/**
 * What entitles a request to a place.
 *
 * @internal
 */
export interface Entitlement {
  tier: number;
  className: string;
  isUrgent: boolean;
  /**
   * The tier it goes before, when the floor of its class is due. Replicas are told that tier as its
   * priority, or it would wait there behind the very work it was put before.
   */
  overtakes: number | undefined;
}

const NONE: ReadonlySet<string> = new Set();

/**
 * Finds out whether and where a request can run: within the share if there is room. Else above it,
 * over less urgent work, where the replica seems to have a free slot; else in place of a less
 * urgent request; else above it all the same, since the replica runs it first. A class whose floor
 * is due and of which nothing runs goes above the share too: urgent traffic that alone fills the
 * share would otherwise starve it.
 *
 * @internal
 */
export class SlotFinder {
  private readonly chooser: ReplicaChooser;

  private readonly running: RunningRequests;

  private readonly preemptingTier: number;

  constructor(chooser: ReplicaChooser, running: RunningRequests, preemptingTier: number) {
    this.chooser = chooser;
    this.running = running;
    this.preemptingTier = preemptingTier;
  }

  /** Whether there is a place, unless it is at a replica that failed the very request. */
  canStart(pool: ReplicaPool, entitlement: Entitlement, now: Milliseconds): boolean {
    if (pool.open.size > 0) {
      return true;
    }
    const { tier, isUrgent } = entitlement;
    if (pool.openAbove.size > 0) {
      const wish = { tier, isUrgent, failed: NONE, mayProbe: false, affinityKey: undefined };
      const above = this.chooser.chooseAboveShare(pool, wish, now);
      if (above !== undefined || this.isFloorDue(entitlement)) {
        return true;
      }
    }
    return this.findVictim(pool, tier, NONE) !== undefined;
  }

  /** The place for a request. */
  find(record: RequestRecord, entitlement: Entitlement, now: Milliseconds): Slot | undefined {
    const { pool, tier, failed } = record;
    const wish = record.getWish();
    const within = this.chooser.choose(pool, wish, now);
    if (within !== undefined) {
      return within;
    }
    const above = this.chooser.chooseAboveShare(pool, wish, now);
    if (above !== undefined && above.getPressure(now) <= 1) {
      return { state: above, reason: ChoiceReason.AboveShare };
    }
    const victim = this.findVictim(pool, tier, failed);
    if (victim !== undefined) {
      return { state: victim.attempt!.state, reason: ChoiceReason.Preemption, victim };
    }
    if (above !== undefined) {
      return { state: above, reason: ChoiceReason.AboveShare };
    }
    const due = this.isFloorDue(entitlement)
      ? this.chooser.chooseForFloor(pool, wish, now)
      : undefined;
    return due && { state: due, reason: ChoiceReason.Floor };
  }

  private findVictim(pool: ReplicaPool, tier: number, failed: ReadonlySet<string>) {
    if (tier > this.preemptingTier) {
      return undefined;
    }
    return this.running.preemptible.find(tier, ({ attempt }) => {
      const { state } = attempt!;
      return pool.offers(state) && !failed.has(state.id);
    });
  }

  private isFloorDue({ overtakes, className }: Entitlement): boolean {
    return overtakes !== undefined && this.running.getOfClass(className) === 0;
  }
}
