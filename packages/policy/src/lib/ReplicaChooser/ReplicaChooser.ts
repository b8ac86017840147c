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
  /** Above the share, over less urgent work. */
  AboveShare = 'above-share',
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
  tier: number;
  isUrgent: boolean;
}

/** Draws before the set is searched for one that fits. */
const MAX_DRAWS = 4;

/**
 * Replicas looked at for room over less urgent work. A saturated large fleet has little of it, and
 * looking everywhere with every message would cost more than it finds.
 */
const MAX_LOOKED_AT = 16;

/** Convicted replicas looked at for a probe. */
const MAX_PROBES = 8;

function findProbe(pool: ReplicaPool, { failed }: Wish, now: Milliseconds) {
  const due = pool.convicted
    .getAll()
    .slice(0, MAX_PROBES)
    .find(
      (state) =>
        now >= state.probeAt && state.load.own < state.getLimit(now) && !failed.has(state.id),
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
    const drawn = this.drawTwo(pool.open, ({ id }) => !wish.failed.has(id));
    const preferred = this.findPreferred(pool, wish, drawn, now);
    if (preferred !== undefined) {
      return { state: preferred, reason: ChoiceReason.Affinity };
    }
    const state = this.getLessLoaded(drawn, now);
    return state && { state, reason: ChoiceReason.TwoChoices };
  }

  /**
   * Chooses among the replicas with room above the share: for urgent tiers any, for others those
   * where they find room when less urgent work doesn't count.
   */
  chooseAboveShare(pool: ReplicaPool, wish: Wish, now: Milliseconds): ReplicaState | undefined {
    const { failed, isUrgent, tier } = wish;
    const fits = (state: ReplicaState) =>
      !failed.has(state.id) && (isUrgent || pool.hasRoomOver(state, tier, now));
    const drawn = this.drawTwo(pool.openAbove, fits, MAX_LOOKED_AT);
    return this.getLessLoaded(drawn, now);
  }

  /** Any replica where a tier finds room above the share. */
  findAboveShare(pool: ReplicaPool, tier: number, now: Milliseconds): ReplicaState | undefined {
    const fits = (state: ReplicaState) => pool.hasRoomOver(state, tier, now);
    return this.draw(pool.openAbove, fits, MAX_LOOKED_AT);
  }

  /** Chooses among the replicas with room above the share for a class whose floor is due. */
  chooseForFloor(pool: ReplicaPool, { failed }: Wish, now: Milliseconds): ReplicaState | undefined {
    const drawn = this.drawTwo(pool.openAbove, ({ id }) => !failed.has(id));
    return this.getLessLoaded(drawn, now);
  }

  /**
   * The cached replica, or the second choice, unless that has more than its part: hashing with
   * bounded loads, the mean taken from the two that were drawn.
   */
  private findPreferred(pool: ReplicaPool, wish: Wish, drawn: ReplicaState[], now: Milliseconds) {
    if (wish.affinityKey === undefined || drawn.length === 0) {
      return undefined;
    }
    const pressures = drawn.map((state) => state.getPressure(now));
    const mean = pressures.reduce((sum, pressure) => sum + pressure, 0) / drawn.length;
    return pool.affinity.getPreferred(wish.affinityKey).find((state) => {
      const { slots } = state.replica;
      const bound = Math.ceil(this.options.affinityBound * mean * slots);
      const isOpen = pool.open.has(state) && !wish.failed.has(state.id);
      return isOpen && state.getPressure(now) * slots <= bound;
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

  /** Two different replicas at random, or as many as there are. */
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
    for (let draws = 0; draws < MAX_DRAWS; draws += 1) {
      const drawn = candidates.draw(this.random);
      if (drawn === undefined || fits(drawn)) {
        return drawn;
      }
    }
    return candidates.find(this.random, fits, limit);
  }
}
