import type { Milliseconds, Random } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import type { SampledSet } from '../structures/SampledSet.js';
import type { ReplicaPool } from './ReplicaPool.js';
import type { ReplicaState } from './ReplicaState.js';

/** Why a replica was chosen; written to the decision log. */
export enum ChoiceReason {
  /** According to rendezvous hashing, the replica has the prompt's prefix cached. */
  Affinity = 'affinity',
  /** The replica is the less loaded one of two drawn at random. */
  TwoChoices = 'two-choices',
  /** The replica was marked as a straggler and may have recovered. */
  Probe = 'probe',
  /** The request goes above the share, ahead of less urgent work. */
  AboveShare = 'above-share',
  /** The request takes the place of a preempted one. */
  Preemption = 'preemption',
  /** The request goes above the share because the floor of its class is due. */
  Floor = 'floor',
}

/**
 * The replica chosen for a request.
 *
 * @internal
 */
export interface ReplicaChoice {
  state: ReplicaState;
  reason: ChoiceReason;
}

/**
 * The criteria of a request for choosing its replica.
 *
 * @internal
 */
export interface ReplicaCriteria {
  /** Hash of service, model, workspace and prompt prefix; undefined if there is no prefix. */
  affinityKey: number | undefined;
  /** Ids of the replicas that failed this request. */
  failed: ReadonlySet<string>;
  /** Whether the request may be sent to a straggler as a probe. */
  mayProbe: boolean;
  tier: number;
  isUrgent: boolean;
}

/** Random draws before the set is searched for a suitable replica. */
const MAX_RANDOM_DRAWS = 4;

/**
 * Maximum number of replicas examined for room ahead of less urgent work. A large saturated fleet
 * has little room, and examining every replica for every message would cost more than it gains.
 */
const MAX_EXAMINED = 16;

/** Maximum number of stragglers examined for a probe. */
const MAX_PROBE_CANDIDATES = 8;

function findProbeCandidate(pool: ReplicaPool, { failed }: ReplicaCriteria, now: Milliseconds) {
  const candidate = pool.stragglers
    .getAll()
    .slice(0, MAX_PROBE_CANDIDATES)
    .find(
      (state) =>
        now >= state.nextProbeAt &&
        state.load.ownRunning < state.getLimit(now) &&
        !failed.has(state.id),
    );
  candidate?.postponeProbe(now);
  return candidate;
}

/**
 * Chooses a replica for each request. The less loaded of two random replicas is nearly as good as
 * the least loaded of all, and it prevents all daemons from choosing the same replica when a stale
 * report makes it look idle.
 *
 * @internal
 */
export class ReplicaChooser {
  private readonly random: Random;

  private readonly options: PolicyOptions;

  constructor(random: Random, options: PolicyOptions) {
    this.random = random;
    this.options = options;
  }

  /** Chooses among the replicas with room within this daemon's limit. */
  choose(
    pool: ReplicaPool,
    criteria: ReplicaCriteria,
    now: Milliseconds,
  ): ReplicaChoice | undefined {
    const probe = criteria.mayProbe ? findProbeCandidate(pool, criteria, now) : undefined;
    if (probe !== undefined) {
      return { state: probe, reason: ChoiceReason.Probe };
    }
    const drawn = this.drawTwo(pool.available, ({ id }) => !criteria.failed.has(id));
    const affine = this.findAffine(pool, criteria, drawn, now);
    if (affine !== undefined) {
      return { state: affine, reason: ChoiceReason.Affinity };
    }
    const state = this.getLessLoaded(drawn, now);
    return state && { state, reason: ChoiceReason.TwoChoices };
  }

  /**
   * Chooses among the replicas with room above the share. Urgent tiers may use any of them; other
   * tiers only those that have room when less urgent work is not counted.
   */
  chooseAboveShare(
    pool: ReplicaPool,
    criteria: ReplicaCriteria,
    now: Milliseconds,
  ): ReplicaState | undefined {
    const { failed, isUrgent, tier } = criteria;
    const fits = (state: ReplicaState) =>
      !failed.has(state.id) && (isUrgent || pool.hasRoomForTier(state, tier, now));
    const candidates = this.drawTwo(pool.availableAboveShare, fits, MAX_EXAMINED);
    return this.getLessLoaded(candidates, now);
  }

  /** Finds any replica where a tier has room above the share. */
  findAboveShare(pool: ReplicaPool, tier: number, now: Milliseconds): ReplicaState | undefined {
    const fits = (state: ReplicaState) => pool.hasRoomForTier(state, tier, now);
    return this.draw(pool.availableAboveShare, fits, MAX_EXAMINED);
  }

  /** Chooses among the replicas with room above the share for a class whose floor is due. */
  chooseForFloor(
    pool: ReplicaPool,
    { failed }: ReplicaCriteria,
    now: Milliseconds,
  ): ReplicaState | undefined {
    const candidates = this.drawTwo(pool.availableAboveShare, ({ id }) => !failed.has(id));
    return this.getLessLoaded(candidates, now);
  }

  /**
   * The replica preferred for the prefix, or the second choice, unless its load exceeds the bound.
   * This is hashing with bounded loads, with the mean load taken from the two drawn replicas.
   */
  private findAffine(
    pool: ReplicaPool,
    criteria: ReplicaCriteria,
    drawn: ReplicaState[],
    now: Milliseconds,
  ) {
    if (criteria.affinityKey === undefined || drawn.length === 0) {
      return undefined;
    }
    const pressures = drawn.map((state) => state.getPressure(now));
    const mean = pressures.reduce((sum, pressure) => sum + pressure, 0) / drawn.length;
    return pool.affinity.getPreferred(criteria.affinityKey).find((state) => {
      const { slots } = state.replica;
      const bound = Math.ceil(this.options.affinityLoadFactor * mean * slots);
      const hasRoom = pool.available.has(state) && !criteria.failed.has(state.id);
      return hasRoom && state.getPressure(now) * slots <= bound;
    });
  }

  private getLessLoaded([first, second]: ReplicaState[], now: Milliseconds) {
    if (first === undefined || second === undefined) {
      return first;
    }
    const difference = first.getPressure(now) - second.getPressure(now);
    if (difference === 0) {
      return this.random.integer(2) === 0 ? first : second;
    }
    return difference < 0 ? first : second;
  }

  /** Draws two different replicas at random, or fewer if there are not enough. */
  private drawTwo(
    candidates: SampledSet<ReplicaState>,
    fits: (state: ReplicaState) => boolean,
    limit?: number,
  ): ReplicaState[] {
    const first = this.draw(candidates, fits, limit);
    if (first === undefined || candidates.size === 1) {
      return first === undefined ? [] : [first];
    }
    const second = this.draw(candidates, (state) => state !== first && fits(state), limit);
    return second === undefined ? [first] : [first, second];
  }

  private draw(
    candidates: SampledSet<ReplicaState>,
    fits: (state: ReplicaState) => boolean,
    limit?: number,
  ): ReplicaState | undefined {
    for (let draws = 0; draws < MAX_RANDOM_DRAWS; draws += 1) {
      const candidate = candidates.drawRandom(this.random);
      if (candidate === undefined || fits(candidate)) {
        return candidate;
      }
    }
    return candidates.find(this.random, fits, limit);
  }
}
