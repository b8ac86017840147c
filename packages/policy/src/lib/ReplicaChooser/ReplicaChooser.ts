import type { Milliseconds, Random } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import type { SampledSet } from '../structures/SampledSet.js';
import type { ReplicaPool } from './ReplicaPool.js';
import type { ReplicaState } from './ReplicaState.js';

/** Why a replica was chosen; goes into the decision log. */
export enum ChoiceReason {
  /** It has the prompt's head cached, as far as hashing tells. */
  Affinity = 'affinity',
  /** The less loaded of two drawn at random. */
  TwoChoices = 'two-choices',
  /** It was convicted of being slow and may have recovered. */
  Probe = 'probe',
  /** Above the share, because the request is urgent and there is room. */
  UrgentExcess = 'urgent-excess',
  /** In place of a preempted request. */
  Preemption = 'preemption',
  /** Above the share, because the class's floor is due. */
  Floor = 'floor',
}

/**
 * A replica for a request.
 *
 * @internal
 */
export interface Choice {
  state: ReplicaState;
  reason: ChoiceReason;
}

/**
 * What a request wishes of its replica.
 *
 * @internal
 */
export interface Wish {
  /** Hash of service, model, workspace and prompt head; absent when nothing is cached. */
  affinityKey: number | undefined;
  /** Replicas that failed this request. */
  failed: ReadonlySet<string>;
  /** Whether it may be sent to a replica under suspicion. */
  mayProbe: boolean;
}

/** Draws before giving up on finding one that did not fail the request. */
const MAX_DRAWS = 4;

/** Convicted replicas looked at for a probe. */
const MAX_PROBES = 8;

function findProbe(pool: ReplicaPool, { failed }: Wish, now: Milliseconds) {
  const due = pool.convicted
    .getAll()
    .slice(0, MAX_PROBES)
    .find(
      (state) => now >= state.probeAt && state.load.own < state.getLimit() && !failed.has(state.id),
    );
  due?.postponeProbe(now);
  return due;
}

/**
 * Chooses a replica. The less loaded of two random ones is nearly as good as the least loaded of
 * all and doesn't send every daemon to the same one when a stale report makes it look idle.
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

  /** Chooses among the replicas with room within their limit. */
  choose(pool: ReplicaPool, wish: Wish, now: Milliseconds): Choice | undefined {
    const probe = wish.mayProbe ? findProbe(pool, wish, now) : undefined;
    if (probe !== undefined) {
      return { state: probe, reason: ChoiceReason.Probe };
    }
    const preferred = this.findPreferred(pool, wish, now);
    if (preferred !== undefined) {
      return { state: preferred, reason: ChoiceReason.Affinity };
    }
    const state = this.chooseOfTwo(pool.open, wish.failed, now);
    return state && { state, reason: ChoiceReason.TwoChoices };
  }

  /** Chooses among the replicas with room above the share. */
  chooseAboveShare(pool: ReplicaPool, wish: Wish, now: Milliseconds): ReplicaState | undefined {
    return this.chooseOfTwo(pool.openToUrgent, wish.failed, now);
  }

  /** The cached replica, or the second choice, unless that would overload it. */
  private findPreferred(pool: ReplicaPool, { affinityKey, failed }: Wish, now: Milliseconds) {
    if (affinityKey === undefined || pool.size < 2) {
      return undefined;
    }
    return pool.affinity
      .getPreferred(affinityKey)
      .find(
        (state) =>
          pool.open.has(state) &&
          !failed.has(state.id) &&
          state.getPressure(now) <= this.options.affinityBound,
      );
  }

  private chooseOfTwo(
    candidates: SampledSet<ReplicaState>,
    failed: ReadonlySet<string>,
    now: Milliseconds,
  ): ReplicaState | undefined {
    const first = this.draw(candidates, ({ id }) => !failed.has(id));
    const second = this.draw(candidates, (state) => state !== first && !failed.has(state.id));
    if (first === undefined || second === undefined) {
      return first;
    }
    const difference = first.getPressure(now) - second.getPressure(now);
    if (difference === 0) {
      return this.random.integer(2) === 0 ? first : second;
    }
    return difference < 0 ? first : second;
  }

  private draw(candidates: SampledSet<ReplicaState>, fits: (state: ReplicaState) => boolean) {
    for (let draws = 0; draws < MAX_DRAWS; draws += 1) {
      const drawn = candidates.draw(this.random);
      if (drawn === undefined || fits(drawn)) {
        return drawn;
      }
    }
    return candidates.find(this.random, fits);
  }
}
