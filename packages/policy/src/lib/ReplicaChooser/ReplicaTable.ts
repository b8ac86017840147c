import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import type { Reserve } from '../Reserve/Reserve.js';
import type { SharedLimit } from '../SharedLimit/SharedLimit.js';
import { ReplicaPool } from './ReplicaPool.js';
import { ReplicaState } from './ReplicaState.js';

/**
 * What the table is made of.
 *
 * @internal
 */
export interface ReplicaTableParts {
  clock: Clock;
  options: PolicyOptions;
  limit: SharedLimit;
  reserve: Reserve;
  /** Whether somebody said that the replica is leaving. */
  isLeaving: (replica: string) => boolean;
  /** A replica may be sent something again. */
  onOpened: () => void;
}

/**
 * The replicas of one service as this daemon knows them.
 *
 * @internal
 */
export class ReplicaTable {
  private readonly parts: ReplicaTableParts;

  private readonly states = new Map<string, ReplicaState>();

  private readonly pools = new Map<string | undefined, ReplicaPool>();

  /** How many replicas hold each model. */
  private readonly holders = new Map<string, number>();

  private readonly timers = new Map<ReplicaState, Timer>();

  constructor(parts: ReplicaTableParts) {
    this.parts = parts;
  }

  get(id: string): ReplicaState | undefined {
    return this.states.get(id);
  }

  getAll(): Iterable<ReplicaState> {
    return this.states.values();
  }

  /**
   * The replicas that can run a model. Those of a model that placement keeps nowhere, or of none,
   * are all replicas: a caller that makes up names of models must not fill the memory with pools.
   */
  getPool(wanted: string | undefined): ReplicaPool {
    const isHeld = wanted !== undefined && this.holders.has(wanted);
    const model = isHeld || this.pools.has(wanted) ? wanted : undefined;
    const known = this.pools.get(model);
    if (known !== undefined) {
      return known;
    }
    const pool = new ReplicaPool(model, this.parts.options.preemptingTier);
    pool.setReplicas([...this.states.values()], this.parts.clock.now());
    this.pools.set(model, pool);
    return pool;
  }

  /**
   * Takes the whole list. A replica that is no longer in it gets nothing new; it stays known for
   * as long as something of ours runs there.
   */
  setReplicas(replicas: readonly Replica[]): void {
    const listed = new Set(replicas.map(({ id }) => id));
    this.states.forEach((state) => this.unlist(state, listed));
    replicas.forEach((replica) => {
      const state = this.states.get(replica.id) ?? new ReplicaState(replica, this.parts.options);
      state.describe(replica);
      state.setLeaving(this.parts.isLeaving(replica.id));
      this.states.set(replica.id, state);
    });
    this.updateShares();
  }

  /** Divides the slots anew, after replicas or daemons changed. */
  updateShares(): void {
    const listed = [...this.states.values()].filter(({ isListed }) => isListed);
    this.countHolders(listed);
    listed.forEach((state) => {
      // A model that few replicas hold must be reached by every daemon, also in a large fleet.
      const counts = [...state.getModels()].map((model) => this.holders.get(model)!);
      const count = Math.min(listed.length, ...counts);
      const plan = this.parts.reserve.getPlan(state.replica.slots);
      state.setShare(this.parts.limit.getShare(state.id, plan.shared, count), plan);
    });
    const now = this.parts.clock.now();
    const all = [...this.states.values()];
    this.pools.forEach((pool) => pool.setReplicas(all, now));
  }

  setLeaving(id: string, leaving: boolean): void {
    const state = this.states.get(id);
    if (state !== undefined) {
      state.setLeaving(leaving);
      this.refresh(state);
    }
  }

  /** Avoids a replica until then; it opens again by itself. */
  avoid(state: ReplicaState, until: Milliseconds): void {
    const { clock, onOpened } = this.parts;
    state.avoid(until);
    this.refresh(state);
    this.timers.get(state)?.cancel();
    const timer = clock.setTimer(until - clock.now(), () => {
      this.timers.delete(state);
      this.refresh(state);
      onOpened();
    });
    this.timers.set(state, timer);
  }

  /** Looks again at a replica whose state changed. */
  refresh(state: ReplicaState): void {
    const now = this.parts.clock.now();
    this.pools.forEach((pool) => pool.refresh(state, now));
    if (!state.isListed && state.load.own === 0) {
      this.states.delete(state.id);
    }
  }

  dispose(): void {
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }

  private countHolders(listed: readonly ReplicaState[]): void {
    this.holders.clear();
    listed.forEach((state) =>
      state.getModels().forEach((model) => {
        this.holders.set(model, (this.holders.get(model) ?? 0) + 1);
      }),
    );
  }

  private unlist(state: ReplicaState, listed: ReadonlySet<string>): void {
    if (listed.has(state.id)) {
      return;
    }
    state.unlist();
    if (state.load.own === 0) {
      this.states.delete(state.id);
    }
  }
}
