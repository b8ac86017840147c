import type { Milliseconds } from '@apricotrill/utils';
import { ChoiceReason } from '../ReplicaChooser/ReplicaChooser.js';
import type { Choice, ReplicaChooser } from '../ReplicaChooser/ReplicaChooser.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
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
  /** It may have to wait there; another may be stopped for it later. */
  mayPreemptLater?: boolean;
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
 * Finds out whether and where a request can run: within the share if there is room, else above it,
 * over less urgent work, since the replica runs it first. Where no slot seems free, an urgent
 * request takes the place of a less urgent one at once; another does so only when it has waited at
 * the replica for a part of its target, because what is stopped has its prompt computed again.
 *
 * A class whose floor is due and of which nothing runs goes above the share too: urgent traffic
 * that alone fills the share would otherwise starve it.
 *
 * @internal
 */
export class SlotFinder {
  private readonly chooser: ReplicaChooser;

  private readonly running: RunningRequests;

  private readonly preemptingTier: number;

  /** What `canStart` found last: in a large fleet a second search may look elsewhere. */
  private found: ReplicaState | undefined;

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
      this.found = isUrgent ? undefined : this.chooser.findAboveShare(pool, tier, now);
      if (isUrgent || this.found !== undefined || this.isFloorDue(entitlement)) {
        return true;
      }
    }
    return this.findAnyVictim(pool, tier, NONE) !== undefined;
  }

  /** The place for a request. */
  find(record: RequestRecord, entitlement: Entitlement, now: Milliseconds): Slot | undefined {
    const { pool, tier, isUrgent } = record;
    const within = this.chooser.choose(pool, record.getWish(), now);
    const isQuick = tier <= this.preemptingTier;
    if (within !== undefined && (!isQuick || within.state.getPressure(now) <= 1)) {
      return within;
    }
    const above = this.findAbove(record, now);
    if (above !== undefined && above.state.getPressure(now) <= 1) {
      return above;
    }
    const place = within ?? above;
    if (place !== undefined && !isUrgent) {
      return { ...place, mayPreemptLater: isQuick };
    }
    return this.findByPreemption(record) ?? place ?? this.findForFloor(record, entitlement, now);
  }

  /** A less urgent request at the replica where a more urgent one has waited for too long. */
  findLateVictim({ pool, tier, attempt }: RequestRecord): RequestRecord | undefined {
    const { state } = attempt!;
    return this.findVictim(
      pool,
      tier,
      (victim) => victim.attempt!.state === state && victim.attempt!.hasAnswered,
    );
  }

  private findAbove(record: RequestRecord, now: Milliseconds): Choice | undefined {
    const state =
      this.chooser.chooseAboveShare(record.pool, record.getWish(), now) ?? this.getFound(record);
    return state && { state, reason: ChoiceReason.AboveShare };
  }

  private findByPreemption({ pool, tier, failed }: RequestRecord): Slot | undefined {
    const victim = this.findAnyVictim(pool, tier, failed);
    return victim && { state: victim.attempt!.state, reason: ChoiceReason.Preemption, victim };
  }

  private findForFloor(
    record: RequestRecord,
    entitlement: Entitlement,
    now: Milliseconds,
  ): Slot | undefined {
    const state = this.isFloorDue(entitlement)
      ? this.chooser.chooseForFloor(record.pool, record.getWish(), now)
      : undefined;
    return state && { state, reason: ChoiceReason.Floor };
  }

  /** One that has begun its answer surely holds a slot; one that has not may be waiting itself. */
  private findAnyVictim(pool: ReplicaPool, tier: number, failed: ReadonlySet<string>) {
    const fits = ({ attempt }: RequestRecord) => !failed.has(attempt!.state.id);
    return (
      this.findVictim(pool, tier, (victim) => fits(victim) && victim.attempt!.hasAnswered) ??
      this.findVictim(pool, tier, fits)
    );
  }

  private findVictim(pool: ReplicaPool, tier: number, fits: (victim: RequestRecord) => boolean) {
    if (tier > this.preemptingTier) {
      return undefined;
    }
    return this.running.preemptible.find(
      tier,
      (victim) => pool.offers(victim.attempt!.state) && fits(victim),
    );
  }

  private getFound({ pool, failed }: RequestRecord): ReplicaState | undefined {
    const { found } = this;
    this.found = undefined;
    const isFit = found !== undefined && pool.openAbove.has(found) && !failed.has(found.id);
    return isFit ? found : undefined;
  }

  private isFloorDue({ overtakes, className }: Entitlement): boolean {
    return overtakes !== undefined && this.running.getOfClass(className) === 0;
  }
}
