import type { Milliseconds } from '@apricotrill/utils';
import { SampledSet } from '../structures/SampledSet.js';
import { PrefixAffinity } from './PrefixAffinity.js';
import type { ReplicaState } from './ReplicaState.js';

/**
 * The replicas that can run the same requests: those of a service on which a model is placed, or
 * all of its replicas if it is a plain service or the model is placed on none of them.
 *
 * @internal
 */
export class ReplicaPool {
  readonly model: string | undefined;

  readonly affinity = new PrefixAffinity();

  /** Replicas to which requests may be sent at all. */
  readonly eligible = new SampledSet<ReplicaState>();

  /** Replicas with room within this daemon's limit. */
  readonly available = new SampledSet<ReplicaState>();

  /** Replicas with room above the share. */
  readonly availableAboveShare = new SampledSet<ReplicaState>();

  readonly stragglers = new SampledSet<ReplicaState>();

  private members: readonly ReplicaState[] = [];

  /** Eligible replicas that are neither in cooldown nor stragglers. */
  private readonly healthy = new SampledSet<ReplicaState>();

  /** This daemon's slots at healthy replicas: their sum, and the slots of each replica. */
  private healthySlots = 0;

  private readonly slotsByReplica = new Map<ReplicaState, number>();

  private ownRunning = 0;

  /** Whether unhealthy replicas are used because no replica is healthy. */
  private usesUnhealthy = true;

  /**
   * Whether this daemon may run one request although it has no slot of its own, as when daemons
   * outnumber slots. Otherwise its callers would wait forever.
   */
  private hasFallbackSlot = true;

  private readonly preemptingTier: number;

  constructor(model: string | undefined, preemptingTier: number) {
    this.model = model;
    this.preemptingTier = preemptingTier;
  }

  get size(): number {
    return this.members.length;
  }

  /** Selects the members of this pool from all replicas of the service. */
  setReplicas(replicas: readonly ReplicaState[], now: Milliseconds): void {
    this.members.forEach((state) => this.removeReplica(state));
    const { model } = this;
    const listed = replicas.filter(({ isListed }) => isListed);
    const withModel = listed.filter((state) => model !== undefined && state.getModels().has(model));
    this.members = withModel.length > 0 ? withModel : listed;
    this.affinity.setMembers(this.members.filter(({ share }) => share.isAssigned));
    this.members.forEach((state) => this.update(state, now));
    this.updateFallbacks(now);
  }

  /** Updates the pool after the state of a replica changed. */
  refresh(state: ReplicaState, now: Milliseconds): void {
    if (this.slotsByReplica.has(state)) {
      this.update(state, now);
      this.updateFallbacks(now);
    }
  }

  /** Records that a request of this pool was sent (1) or ended (-1). */
  recordRunningChange(change: 1 | -1, now: Milliseconds): void {
    this.ownRunning += change;
    this.updateFallbacks(now);
  }

  /** Whether new requests may be sent to the replica, regardless of its room. */
  acceptsNewWork(state: ReplicaState): boolean {
    return this.healthy.has(state) || (this.usesUnhealthy && this.eligible.has(state));
  }

  /** Whether the replica has room when only work of this tier or more urgent tiers is counted. */
  hasRoomForTier(state: ReplicaState, tier: number, now: Milliseconds): boolean {
    const limit =
      tier <= this.preemptingTier ? this.getLimitAboveShare(state, now) : this.getLimit(state, now);
    return state.getRunningUpTo(tier) < limit;
  }

  getMembers(): readonly ReplicaState[] {
    return this.members;
  }

  private getLimit(state: ReplicaState, now: Milliseconds): number {
    return Math.max(state.getLimit(now), this.hasFallbackSlot ? 1 : 0);
  }

  /** The limit for work that less urgent work must not block; never below the share. */
  private getLimitAboveShare(state: ReplicaState, now: Milliseconds): number {
    return Math.max(this.getLimit(state, now), state.share.slots);
  }

  private removeReplica(state: ReplicaState): void {
    this.healthySlots -= this.slotsByReplica.get(state) ?? 0;
    this.slotsByReplica.delete(state);
    [
      this.eligible,
      this.available,
      this.availableAboveShare,
      this.stragglers,
      this.healthy,
    ].forEach((set) => set.set(state, false));
  }

  private update(state: ReplicaState, now: Milliseconds): void {
    const isEligible = state.isEligible();
    const isHealthy = isEligible && !state.isStraggler && !state.isCoolingDown(now);
    const acceptsWork = isHealthy || (this.usesUnhealthy && isEligible);
    this.eligible.set(state, isEligible);
    this.stragglers.set(state, isEligible && state.isStraggler);
    this.healthy.set(state, isHealthy);
    this.setCountedSlots(state, isHealthy ? state.share.slots : 0);
    const { ownRunning } = state.load;
    this.available.set(state, acceptsWork && ownRunning < this.getLimit(state, now));
    const limitAboveShare = this.getLimitAboveShare(state, now) + state.getOvercommit();
    this.availableAboveShare.set(state, acceptsWork && ownRunning < limitAboveShare);
  }

  private setCountedSlots(state: ReplicaState, newSlots: number): void {
    this.healthySlots += newSlots - (this.slotsByReplica.get(state) ?? 0);
    this.slotsByReplica.set(state, newSlots);
  }

  private updateFallbacks(now: Milliseconds): void {
    const usesUnhealthy = this.healthy.size === 0;
    const hasFallbackSlot = this.healthySlots === 0 && this.ownRunning === 0;
    if (usesUnhealthy !== this.usesUnhealthy || hasFallbackSlot !== this.hasFallbackSlot) {
      this.usesUnhealthy = usesUnhealthy;
      this.hasFallbackSlot = hasFallbackSlot;
      this.members.forEach((state) => this.update(state, now));
    }
  }
}
