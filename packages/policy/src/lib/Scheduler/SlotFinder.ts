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
  /** The floor of its class is due. */
  isCredited: boolean;
}

/**
 * Finds out whether and where a request can run: within the share if there is room. An urgent one
 * goes above the share where the replica has room, else takes the place of a less urgent one, else
 * goes above the share all the same, since the replica will run it first. A class whose floor is
 * due and of which nothing runs goes above the share too: urgent traffic that alone fills the
 * share would otherwise starve it.
 *
 * @internal
 */
export class SlotFinder {
  private readonly chooser: ReplicaChooser;

  private readonly running: RunningRequests;

  constructor(chooser: ReplicaChooser, running: RunningRequests) {
    this.chooser = chooser;
    this.running = running;
  }

  /** Whether there may be a place; cheap, and blind to replicas that failed the very request. */
  canStart(pool: ReplicaPool, entitlement: Entitlement): boolean {
    if (pool.open.size > 0) {
      return true;
    }
    const hasExcess = pool.openToUrgent.size > 0;
    if (entitlement.isUrgent) {
      return hasExcess || this.findVictim(pool, entitlement.tier) !== undefined;
    }
    return hasExcess && this.isFloorDue(entitlement);
  }

  /** The place for a request. */
  find(record: RequestRecord, entitlement: Entitlement, now: Milliseconds): Slot | undefined {
    const within = this.chooser.choose(record.pool, record.getWish(), now);
    if (within !== undefined) {
      return within;
    }
    if (entitlement.isUrgent) {
      return this.findForUrgent(record, now);
    }
    if (this.isFloorDue(entitlement)) {
      const state = this.chooser.chooseAboveShare(record.pool, record.getWish(), now);
      return state && { state, reason: ChoiceReason.Floor };
    }
    return undefined;
  }

  private findForUrgent(record: RequestRecord, now: Milliseconds): Slot | undefined {
    const above = this.chooser.chooseAboveShare(record.pool, record.getWish(), now);
    if (above !== undefined && above.getPressure(now) <= 1) {
      return { state: above, reason: ChoiceReason.UrgentExcess };
    }
    const victim = this.findVictim(record.pool, record.tier, record.failed);
    if (victim !== undefined) {
      return { state: victim.attempt!.state, reason: ChoiceReason.Preemption, victim };
    }
    return above && { state: above, reason: ChoiceReason.UrgentExcess };
  }

  private findVictim(pool: ReplicaPool, tier: number, failed?: ReadonlySet<string>) {
    return this.running.preemptible.find(tier, ({ attempt }) => {
      const { state } = attempt!;
      return pool.offers(state) && !failed?.has(state.id);
    });
  }

  private isFloorDue({ isCredited, className }: Entitlement): boolean {
    return isCredited && this.running.getOfClass(className) === 0;
  }
}
