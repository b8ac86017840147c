import type { Milliseconds } from '@apricotrill/utils';
import { SampledSet } from '../structures/SampledSet.js';
import { PrefixAffinity } from './PrefixAffinity.js';
import type { ReplicaState } from './ReplicaState.js';

/**
 * The replicas that can run the same requests: those of a service that hold a model, or all of
 * them for a plain service or a model that none is said to hold.
 *
 * @internal
 */
export class ReplicaPool {
  readonly model: string | undefined;

  readonly affinity = new PrefixAffinity();

  /** Replicas that may be sent something. */
  readonly usable = new SampledSet<ReplicaState>();

  /** Replicas with room within their limit. */
  readonly open = new SampledSet<ReplicaState>();

  /** Replicas with room above the share. */
  readonly openAbove = new SampledSet<ReplicaState>();

  readonly convicted = new SampledSet<ReplicaState>();

  private members: readonly ReplicaState[] = [];

  /** Usable replicas that are neither avoided nor convicted. */
  private readonly sound = new SampledSet<ReplicaState>();

  /** This daemon's slots at sound replicas, and how many each counts with. */
  private slots = 0;

  private readonly counted = new Map<ReplicaState, number>();

  private running = 0;

  /** No replica is sound: those that are avoided are better than none. */
  private isDesperate = true;

  /**
   * This daemon has no slot of its own here, as when daemons outnumber slots. It may still run one
   * request at a time, or its callers would wait for ever.
   */
  private hasLoan = true;

  private readonly preemptingTier: number;

  constructor(model: string | undefined, preemptingTier: number) {
    this.model = model;
    this.preemptingTier = preemptingTier;
  }

  get size(): number {
    return this.members.length;
  }

  /** Takes all replicas of the service and picks out those that belong here. */
  setReplicas(replicas: readonly ReplicaState[], now: Milliseconds): void {
    this.members.forEach((state) => this.forget(state));
    const { model } = this;
    const listed = replicas.filter(({ isListed }) => isListed);
    const holding = listed.filter((state) => model !== undefined && state.getModels().has(model));
    this.members = holding.length > 0 ? holding : listed;
    this.affinity.setMembers(this.members.filter(({ share }) => share.isIn));
    this.members.forEach((state) => this.update(state, now));
    this.updateMode(now);
  }

  /** Looks again at a replica whose state changed. */
  refresh(state: ReplicaState, now: Milliseconds): void {
    if (this.counted.has(state)) {
      this.update(state, now);
      this.updateMode(now);
    }
  }

  /** Notes that a request of this pool was sent (1) or ended (-1). */
  note(change: 1 | -1, now: Milliseconds): void {
    this.running += change;
    this.updateMode(now);
  }

  /** Whether new work may go to the replica, room apart. */
  offers(state: ReplicaState): boolean {
    return this.sound.has(state) || (this.isDesperate && this.usable.has(state));
  }

  /** Whether there is room at the replica if only as urgent or more urgent work counts. */
  hasRoomOver(state: ReplicaState, tier: number, now: Milliseconds): boolean {
    const limit =
      tier <= this.preemptingTier ? this.getUpperLimit(state, now) : this.getLimit(state, now);
    return state.getRunningUpTo(tier) < limit;
  }

  getMembers(): readonly ReplicaState[] {
    return this.members;
  }

  private getLimit(state: ReplicaState, now: Milliseconds): number {
    return Math.max(state.getLimit(now), this.hasLoan ? 1 : 0);
  }

  /** The limit for what less urgent work must not keep out: never below the share. */
  private getUpperLimit(state: ReplicaState, now: Milliseconds): number {
    return Math.max(this.getLimit(state, now), state.share.slots);
  }

  private forget(state: ReplicaState): void {
    this.slots -= this.counted.get(state) ?? 0;
    this.counted.delete(state);
    [this.usable, this.open, this.openAbove, this.convicted, this.sound].forEach((set) =>
      set.set(state, false),
    );
  }

  private update(state: ReplicaState, now: Milliseconds): void {
    const isUsable = state.isUsable();
    const isSound = isUsable && !state.convicted && !state.isAvoided(now);
    const isOffered = isSound || (this.isDesperate && isUsable);
    this.usable.set(state, isUsable);
    this.convicted.set(state, isUsable && state.convicted);
    this.sound.set(state, isSound);
    this.count(state, isSound ? state.share.slots : 0);
    const { own } = state.load;
    this.open.set(state, isOffered && own < this.getLimit(state, now));
    const above = this.getUpperLimit(state, now) + state.getExcess();
    this.openAbove.set(state, isOffered && own < above);
  }

  private count(state: ReplicaState, slots: number): void {
    this.slots += slots - (this.counted.get(state) ?? 0);
    this.counted.set(state, slots);
  }

  private updateMode(now: Milliseconds): void {
    const isDesperate = this.sound.size === 0;
    const hasLoan = this.slots === 0 && this.running === 0;
    if (isDesperate !== this.isDesperate || hasLoan !== this.hasLoan) {
      this.isDesperate = isDesperate;
      this.hasLoan = hasLoan;
      this.members.forEach((state) => this.update(state, now));
    }
  }
}
