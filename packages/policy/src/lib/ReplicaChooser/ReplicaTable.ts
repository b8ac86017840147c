import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import type { SlotReserve } from '../SlotReserve/SlotReserve.js';
import type { SharedLimit } from '../SharedLimit/SharedLimit.js';
import { ReplicaPool } from './ReplicaPool.js';
import { ReplicaState } from './ReplicaState.js';

/**
 * The dependencies of a replica table.
 *
 * @internal
 */
export interface ReplicaTableSettings {
  clock: Clock;
  options: PolicyOptions;
  limit: SharedLimit;
  reserve: SlotReserve;
  /** Whether the replica has been reported as leaving. */
  isLeaving: (replica: string) => boolean;
  /** Called when requests may be sent to a replica again. */
  onAvailable: () => void;
}

/**
 * The replicas of one service as known to this daemon.
 *
 * @internal
 */
export class ReplicaTable {
  private readonly settings: ReplicaTableSettings;

  private readonly states = new Map<string, ReplicaState>();

  private readonly pools = new Map<string | undefined, ReplicaPool>();

  /** The number of replicas on which each model is placed. */
  private readonly replicaCounts = new Map<string, number>();

  private readonly cooldownTimers = new Map<ReplicaState, Timer>();

  constructor(settings: ReplicaTableSettings) {
    this.settings = settings;
  }

  get(id: string): ReplicaState | undefined {
    return this.states.get(id);
  }

  getAll(): Iterable<ReplicaState> {
    return this.states.values();
  }

  /**
   * The pool of replicas that can run a model. A model that is placed on no replica, like an absent
   * one, uses the pool of all replicas: callers that send made-up model names must not fill the
   * memory with pools.
   */
  getPool(requestedModel: string | undefined): ReplicaPool {
    const isPlaced = requestedModel !== undefined && this.replicaCounts.has(requestedModel);
    const model = isPlaced || this.pools.has(requestedModel) ? requestedModel : undefined;
    const known = this.pools.get(model);
    if (known !== undefined) {
      return known;
    }
    const pool = new ReplicaPool(model, this.settings.options.preemptingTier);
    pool.setReplicas([...this.states.values()], this.settings.clock.now());
    this.pools.set(model, pool);
    return pool;
  }

  /**
   * Replaces the list of replicas. A replica that is no longer in the list receives no new
   * requests; its state is kept while requests of this daemon still run there.
   */
  setReplicas(replicas: readonly Replica[]): void {
    const listed = new Set(replicas.map(({ id }) => id));
    this.states.forEach((state) => this.removeUnlisted(state, listed));
    replicas.forEach((replica) => {
      const state = this.states.get(replica.id) ?? new ReplicaState(replica, this.settings.options);
      state.setEntry(replica);
      state.setLeaving(this.settings.isLeaving(replica.id));
      this.states.set(replica.id, state);
    });
    this.updateShares();
  }

  /** Recomputes the shares after replicas or daemons changed. */
  updateShares(): void {
    const listed = [...this.states.values()].filter(({ isListed }) => isListed);
    this.countReplicasByModel(listed);
    listed.forEach((state) => {
      // Every daemon must reach a model that is placed on few replicas, also in a large fleet.
      const counts = [...state.getModels()].map((model) => this.replicaCounts.get(model)!);
      const count = Math.min(listed.length, ...counts);
      const plan = this.settings.reserve.getPlan(state.replica.slots);
      state.setShare(this.settings.limit.getShare(state.id, plan.shared, count), plan);
    });
    const now = this.settings.clock.now();
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

  /** Puts a replica into cooldown until the given time; it becomes available again by itself. */
  startCooldown(state: ReplicaState, until: Milliseconds): void {
    const { clock, onAvailable } = this.settings;
    state.extendCooldown(until);
    this.refresh(state);
    this.cooldownTimers.get(state)?.cancel();
    const timer = clock.setTimer(until - clock.now(), () => {
      this.cooldownTimers.delete(state);
      this.refresh(state);
      onAvailable();
    });
    this.cooldownTimers.set(state, timer);
  }

  /** Updates the pools after the state of a replica changed. */
  refresh(state: ReplicaState): void {
    const now = this.settings.clock.now();
    this.pools.forEach((pool) => pool.refresh(state, now));
    if (!state.isListed && state.load.ownRunning === 0) {
      this.states.delete(state.id);
    }
  }

  dispose(): void {
    this.cooldownTimers.forEach((timer) => timer.cancel());
    this.cooldownTimers.clear();
  }

  private countReplicasByModel(listed: readonly ReplicaState[]): void {
    this.replicaCounts.clear();
    listed.forEach((state) =>
      state.getModels().forEach((model) => {
        this.replicaCounts.set(model, (this.replicaCounts.get(model) ?? 0) + 1);
      }),
    );
  }

  private removeUnlisted(state: ReplicaState, listed: ReadonlySet<string>): void {
    if (listed.has(state.id)) {
      return;
    }
    state.markUnlisted();
    if (state.load.ownRunning === 0) {
      this.states.delete(state.id);
    }
  }
}
