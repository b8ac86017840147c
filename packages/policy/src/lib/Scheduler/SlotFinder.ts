import type { Milliseconds } from '@apricotrill/utils';
import { ChoiceReason } from '../ReplicaChooser/ReplicaChooser.js';
import type { ReplicaChoice, ReplicaChooser } from '../ReplicaChooser/ReplicaChooser.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunningRequests } from './RunningRequests.js';

/**
 * A replica at which a request can run.
 *
 * @internal
 */
export interface Slot extends ReplicaChoice {
  /** The request that must be preempted first. */
  victim?: RequestRecord;
  /** Another request may be preempted later, if the request has to wait at the replica. */
  mayPreemptLater?: boolean;
  /** The priority sent to the replica, if it differs from the tier. */
  priority?: number;
}

/**
 * The properties of a request that decide which slots it may use.
 *
 * @internal
 */
export interface Entitlement {
  tier: number;
  className: string;
  isUrgent: boolean;
  /**
   * The more urgent tier that the request overtakes when the guaranteed minimum share (floor) of its
   * class is due. This tier is sent to the replica as the priority of the request. Otherwise the
   * replica would queue it behind the requests it has just overtaken.
   */
  overtakenTier: number | undefined;
}

const NO_REPLICAS: ReadonlySet<string> = new Set();

/**
 * Decides whether and where a request can run. It uses this daemon's share of the slots if there is
 * room. Otherwise it may exceed the share at a replica that runs less urgent requests, because the
 * replica runs the more urgent request first. If no slot seems to be free, an urgent request
 * preempts a less urgent one at once. Other preempting requests do so only after waiting at the
 * replica for part of their first-token target, because the prompt of a preempted request has to be
 * computed again.
 *
 * A class whose floor is due and that has no running request may also exceed the share. Otherwise
 * urgent traffic that fills the share by itself would starve the class.
 *
 * @internal
 */
export class SlotFinder {
  private readonly chooser: ReplicaChooser;

  private readonly running: RunningRequests;

  private readonly preemptingTier: number;

  /**
   * The replica that the last `canStart` found above the share. In a large fleet only a sample of
   * replicas is searched, so a second search may not find it again.
   */
  private lastFound: ReplicaState | undefined;

  constructor(chooser: ReplicaChooser, running: RunningRequests, preemptingTier: number) {
    this.chooser = chooser;
    this.running = running;
    this.preemptingTier = preemptingTier;
  }

  /**
   * Returns whether a request with this entitlement can run. Replicas that failed the particular
   * request are not excluded here, so `find` may still return undefined.
   */
  canStart(pool: ReplicaPool, entitlement: Entitlement, now: Milliseconds): boolean {
    if (pool.available.size > 0) {
      return true;
    }
    const { tier, isUrgent } = entitlement;
    if (pool.availableAboveShare.size > 0) {
      this.lastFound = isUrgent ? undefined : this.chooser.findAboveShare(pool, tier, now);
      if (isUrgent || this.lastFound !== undefined || this.isFloorDue(entitlement)) {
        return true;
      }
    }
    return this.findAnyVictim(pool, tier, NO_REPLICAS) !== undefined;
  }

  /** Finds a slot for a request. */
  find(record: RequestRecord, entitlement: Entitlement, now: Milliseconds): Slot | undefined {
    const { pool, tier, isUrgent } = record;
    const withinShare = this.chooser.choose(pool, record.getReplicaCriteria(), now);
    const canPreempt = tier <= this.preemptingTier;
    if (withinShare !== undefined && (!canPreempt || withinShare.state.getPressure(now) <= 1)) {
      return withinShare;
    }
    const aboveShare = this.findAboveShare(record, now);
    if (aboveShare !== undefined && aboveShare.state.getPressure(now) <= 1) {
      return aboveShare;
    }
    const choice = withinShare ?? aboveShare;
    if (choice !== undefined && !isUrgent) {
      return { ...choice, mayPreemptLater: canPreempt };
    }
    return this.findByPreemption(record) ?? choice ?? this.findForFloor(record, entitlement, now);
  }

  /**
   * Finds a less urgent request to preempt at the replica at which this request has waited too long
   * for its first token.
   */
  findVictimAtReplica({ pool, tier, attempt }: RequestRecord): RequestRecord | undefined {
    const { state } = attempt!;
    return this.findVictim(
      pool,
      tier,
      (victim) => victim.attempt!.state === state && victim.attempt!.hasFirstToken,
    );
  }

  private findAboveShare(record: RequestRecord, now: Milliseconds): ReplicaChoice | undefined {
    const state =
      this.chooser.chooseAboveShare(record.pool, record.getReplicaCriteria(), now) ??
      this.takeLastFound(record);
    return state && { state, reason: ChoiceReason.AboveShare };
  }

  private findByPreemption({ pool, tier, failedReplicas }: RequestRecord): Slot | undefined {
    const victim = this.findAnyVictim(pool, tier, failedReplicas);
    return victim && { state: victim.attempt!.state, reason: ChoiceReason.Preemption, victim };
  }

  private findForFloor(
    record: RequestRecord,
    entitlement: Entitlement,
    now: Milliseconds,
  ): Slot | undefined {
    const state = this.isFloorDue(entitlement)
      ? this.chooser.chooseForFloor(record.pool, record.getReplicaCriteria(), now)
      : undefined;
    return state && { state, reason: ChoiceReason.Floor };
  }

  /**
   * Prefers requests whose first token has arrived, because these certainly hold a slot. Others may
   * still be queued at their replica.
   */
  private findAnyVictim(pool: ReplicaPool, tier: number, failedReplicas: ReadonlySet<string>) {
    const isEligible = ({ attempt }: RequestRecord) => !failedReplicas.has(attempt!.state.id);
    return (
      this.findVictim(
        pool,
        tier,
        (victim) => isEligible(victim) && victim.attempt!.hasFirstToken,
      ) ?? this.findVictim(pool, tier, isEligible)
    );
  }

  private findVictim(
    pool: ReplicaPool,
    tier: number,
    isEligible: (victim: RequestRecord) => boolean,
  ) {
    if (tier > this.preemptingTier) {
      return undefined;
    }
    return this.running.preemptible.findVictim(
      tier,
      (victim) => pool.acceptsNewWork(victim.attempt!.state) && isEligible(victim),
    );
  }

  private takeLastFound({ pool, failedReplicas }: RequestRecord): ReplicaState | undefined {
    const { lastFound } = this;
    this.lastFound = undefined;
    const isUsable =
      lastFound !== undefined &&
      pool.availableAboveShare.has(lastFound) &&
      !failedReplicas.has(lastFound.id);
    return isUsable ? lastFound : undefined;
  }

  private isFloorDue({ overtakenTier, className }: Entitlement): boolean {
    return overtakenTier !== undefined && this.running.getCountOfClass(className) === 0;
  }
}
