import type { ScalableService, ZoneSupply } from '@apricotrill/duties';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../../config/RelayConfiguration.js';
import { getFleetShare } from '../getFleetShare.js';
import { getHomeEngines, getSessionPartId } from '../getCachedPrefixes.js';
import { GroupLoads } from '../groups/GroupLoads/GroupLoads.js';
import { getReplicaGroups } from '../groups/getReplicaGroups.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
import type { ReplicaBackoffs } from '../ReplicaBackoffs/ReplicaBackoffs.js';
import type { ReplicaFragility } from '../fragility/ReplicaFragility/ReplicaFragility.js';
import type { ReplicaLimits } from '../limits/ReplicaLimits/ReplicaLimits.js';
import { CancelReason } from '../messages.js';
import type { PlacementCriteria } from '../messages.js';
import { EngineStatistics } from '../PrefillEstimator/EngineStatistics.js';
import type { PlacementOptions } from '../placementOptions.js';
import { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { RequestRecord } from '../RequestRecord.js';
import { RetryBudget } from '../RetryBudget/RetryBudget.js';
import type { RetryLimits } from '../RetryBudget/RetryBudget.js';
import { WaitingList } from '../WaitingList/WaitingList.js';

/** With a single connection, a daemon could not send anything while it waits for a response. */
const MIN_CONNECTIONS = 2;

/** One retry is always allowed, so that a single failure during low traffic is retried. */
const MIN_SLACK = 1;

/** Replicas that must be silent at the same time before all of them count as silent. */
const SILENT_REPLICAS = 2;

/** Criteria for the candidates of a request. */
interface CandidateFilter {
  triedReplicas: ReadonlySet<string>;
  now: Milliseconds;
  hasRoom: (state: ReplicaState) => boolean;
}

/** The part of {@link ReplicaLimits} that candidate selection needs. */
export type ServiceLimits = Pick<ReplicaLimits, 'getRate' | 'maySend'>;

/** The part of {@link ReplicaBackoffs} that candidate selection needs. */
export type ServiceBackoffs = Pick<ReplicaBackoffs, 'getEnd' | 'isBackedOff' | 'isSpared'>;

/** The part of {@link ReplicaFragility} that candidate selection needs. */
export type ServiceFragility = Pick<ReplicaFragility, 'getThreshold' | 'hasRoom' | 'isActive'>;

/** The state of one service as known to the placement core. */
export class ServiceState {
  readonly replicas = new Map<string, ReplicaState>();

  readonly waiting = new WaitingList();

  readonly retryBudget: RetryBudget;

  private readonly statistics: EngineStatistics;

  private configured: RelayService | undefined;

  private daemons: number | undefined;

  /** Computed on demand; undefined again after each change of the replica list. */
  private cachedGroups: readonly ReplicaGroup[] | undefined;

  /** Whether a replica that may be gone stated the slowdown of its machine. */
  private hasStatedSlowdown = false;

  /** What the placers of its groups announced. */
  readonly groupLoads = new GroupLoads();

  constructor(
    readonly name: string,
    private readonly options: PlacementOptions,
    private readonly limits: ServiceLimits,
    private readonly backoffs: ServiceBackoffs,
    private readonly fragility: ServiceFragility,
    clock: Clock,
  ) {
    this.statistics = new EngineStatistics(clock);
    this.retryBudget = new RetryBudget(this.retryLimits);
  }

  get service(): RelayService | undefined {
    return this.configured;
  }

  /** Applies the service's entry in the newest configuration. */
  setService(service: RelayService): void {
    this.configured = service;
    this.statistics.profile = service.engine;
  }

  /** Adjusts this daemon's share of the shared limits; counts are kept. */
  setDaemonCount(daemons: number | undefined): void {
    this.daemons = daemons;
    this.retryBudget.setLimits(this.retryLimits);
  }

  /** The groups of its replicas, each of which has a placer that chooses for all daemons. */
  get groups(): readonly ReplicaGroup[] {
    this.cachedGroups ??= getReplicaGroups(this.name, [...this.replicas.values()]);
    return this.cachedGroups;
  }

  /**
   * The group that a request is sent to: the group of its session's home, so that all daemons
   * choose the same. A request without a session is assigned to a group by its key.
   */
  getRequestGroup({ prompt }: PlacementCriteria, key: string): ReplicaGroup | undefined {
    const { groups } = this;
    if (groups.length <= 1) {
      return groups[0];
    }
    const session = (prompt === undefined ? undefined : getSessionPartId(prompt)) ?? key;
    const [home] = getHomeEngines(session, [...this.replicas.values()]);
    return groups.find(({ replicas }) => replicas.includes(home!));
  }

  /**
   * Whether the placers of its groups decide which requests begin, wait or are refused. This takes effect
   * for engines that share their machines, which they state with their load.
   */
  get isAdmissionControlled(): boolean {
    const isStated =
      this.groupLoads.isInUse ||
      this.hasStatedSlowdown ||
      [...this.replicas.values()].some(({ statesSlowdown }) => statesSlowdown);
    return isStated && this.configured?.engine !== undefined;
  }

  /** Whether the placers of its groups decide which of its requests begin, for any reason. */
  get isPlacerControlled(): boolean {
    return this.isFragile || this.isAdmissionControlled;
  }

  /** The group of a replica. */
  getReplicaGroup(state: ReplicaState): ReplicaGroup | undefined {
    return this.groups.find(({ replicas }) => replicas.includes(state));
  }

  /** Applies the newest list; the state of replicas that are still listed is kept. */
  setReplicas(replicas: readonly RelayReplica[]): void {
    const listed = new Set(replicas.map(({ id }) => id));
    this.hasStatedSlowdown ||= [...this.replicas.values()].some((state) => state.statesSlowdown);
    this.cachedGroups = undefined;
    [...this.replicas.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.replicas.delete(id));
    replicas.forEach((replica) => {
      const state = this.replicas.get(replica.id);
      if (state === undefined) {
        this.replicas.set(replica.id, new ReplicaState(replica, this.options, this.statistics));
      } else {
        state.replica = replica;
      }
    });
  }

  /**
   * The replicas that a request may be sent to now: in service, with free capacity, and not tried
   * yet unless all were. Suspect replicas, those in a cooldown and those that asked another daemon
   * for a backoff are included only if there are no others.
   *
   * @param softwareVersion - the version that began the stream of the request; undefined for any
   */
  getCandidates(
    triedReplicas: ReadonlySet<string>,
    now: Milliseconds,
    softwareVersion?: string,
  ): ReplicaState[] {
    const { isFragile } = this;
    const profile = this.service?.engine;
    const hasRoom = (state: ReplicaState) =>
      state.hasRoom(this.maxOwnConnections, profile) &&
      (!isFragile || this.fragility.hasRoom(state, profile));
    const sendable = this.getReplicasInService(softwareVersion).filter((state) =>
      this.maySend(state),
    );
    return this.filterCandidates(sendable, { triedReplicas, now, hasRoom });
  }

  /** The candidates that an attempt in flight may be moved to. */
  getReplacements(
    { triedReplicas, softwareVersion }: RequestRecord,
    reason: CancelReason,
    now: Milliseconds,
  ): ReplicaState[] {
    const untried = this.getCandidates(triedReplicas, now, softwareVersion).filter(
      ({ replica }) => !triedReplicas.has(replica.id),
    );
    // Behind a lost path all replicas seem silent, and requests are forwarded.
    if (reason === CancelReason.PathLost) {
      return untried;
    }
    return this.isSilent(now) ? [] : untried.filter((state) => !state.isSilent(now));
  }

  /**
   * Whether nothing arrives from any replica, so that those without requests of this daemon are likely to be
   * silent as well. A single silent replica may be down.
   */
  private isSilent(now: Milliseconds): boolean {
    const states = [...this.replicas.values()];
    const silent = states.filter((state) => state.isSilent(now));
    return silent.length >= SILENT_REPLICAS && !states.some((state) => state.hasSentRecently(now));
  }

  /** The candidates within one group, of which this daemon is the placer. */
  getGroupCandidates(
    { replicas }: ReplicaGroup,
    triedReplicas: ReadonlySet<string>,
    now: Milliseconds,
    hasRoomForAll = (state: ReplicaState) => state.hasRoomForAll(this.service?.engine),
  ): ReplicaState[] {
    const { isFragile } = this;
    const profile = this.service?.engine;
    const hasRoom = (state: ReplicaState) =>
      isFragile ? this.fragility.hasRoom(state, profile) : hasRoomForAll(state);
    const sendable = replicas.filter((state) => state.isInService && this.maySend(state));
    return this.filterCandidates(sendable, { triedReplicas, now, hasRoom });
  }

  /** Whether this daemon may send a replica a request now, by the replica's own statements. */
  private maySend(state: ReplicaState): boolean {
    return !this.backoffs.isBackedOff(state.replica.id) && this.limits.maySend(state);
  }

  /** When the first backoff ends, if all replicas in service are backed off; else undefined. */
  getBackoffEnd(): Milliseconds | undefined {
    const ends = this.getReplicasInService().map(({ replica }) => this.backoffs.getEnd(replica.id));
    const backedOff = ends.filter((end) => end !== undefined);
    return ends.length > 0 && backedOff.length === ends.length ? Math.min(...backedOff) : undefined;
  }

  private filterCandidates(
    inService: readonly ReplicaState[],
    { triedReplicas, now, hasRoom }: CandidateFilter,
  ): ReplicaState[] {
    const trusted = inService.filter(
      ({ suspectReason, cooldown, replica }) =>
        suspectReason === undefined &&
        !cooldown.isActive(now) &&
        !this.backoffs.isSpared(replica.id),
    );
    const pool = trusted.length > 0 ? trusted : inService;
    const withRoom = pool.filter(hasRoom);
    const untried = withRoom.filter(({ replica }) => !triedReplicas.has(replica.id));
    const preferred = untried.length > 0 ? untried : withRoom;
    const accepting = preferred.filter(({ fullUntil }) => fullUntil <= now);
    return accepting.length > 0 ? accepting : preferred;
  }

  /** The replicas that are neither draining nor leaving, of one software version or of all. */
  getReplicasInService(softwareVersion?: string): ReplicaState[] {
    return [...this.replicas.values()].filter(
      ({ isInService, replica }) =>
        isInService &&
        (softwareVersion === undefined || replica.softwareVersion === softwareVersion),
    );
  }

  /** The service and its current supply of replicas; undefined if it cannot be scaled. */
  getScalableService(): ScalableService | undefined {
    const limits = this.configured?.scaling;
    if (limits === undefined) {
      return undefined;
    }
    const supply = new Map<string, ZoneSupply>();
    this.getReplicasInService().forEach(({ replica }) => {
      const { availabilityZone, isPreemptible } = replica;
      const zone = supply.get(availabilityZone) ?? { onDemand: 0, preemptible: 0 };
      supply.set(availabilityZone, zone);
      zone[isPreemptible === true ? 'preemptible' : 'onDemand'] += 1;
    });
    return { service: this.name, limits, supply, readRate: this.statistics.prefillRate.value };
  }

  /**
   * Whether its replicas fall over when they turn too many requests away. One that says so speaks for
   * all, since the others have the same load.
   */
  get isFragile(): boolean {
    return (
      this.fragility.isActive &&
      [...this.replicas.keys()].some((id) => this.fragility.getThreshold(id) !== undefined)
    );
  }

  /** Number of this daemon's requests in flight. */
  get ownInFlight(): number {
    return [...this.replicas.values()].reduce((sum, { ownInFlight }) => sum + ownInFlight, 0);
  }

  /** Requests that all its replicas in service can run at the same time. */
  get totalSlots(): number {
    return this.getReplicasInService().reduce(
      (sum, state) => sum + state.getSlots(this.service?.engine),
      0,
    );
  }

  /** Whether any replica has a rate limit. */
  hasLimits(): boolean {
    return this.getReplicasInService().some(
      ({ replica }) => this.limits.getRate(replica.id) !== undefined,
    );
  }

  /**
   * Sum of the replica limits in requests per second; undefined unless all replicas are limited.
   */
  getTotalLimit(): number | undefined {
    const inService = this.getReplicasInService();
    const isLimited = ({ replica }: ReplicaState) => this.limits.getRate(replica.id) !== undefined;
    if (inService.length === 0 || !inService.every(isLimited)) {
      return undefined;
    }
    return inService.reduce((sum, { replica }) => sum + this.limits.getRate(replica.id)!, 0);
  }

  private get retryLimits(): RetryLimits {
    const { retryRatio: ratio, retryWindow: window, retrySlack } = this.options;
    return { ratio, window, slack: getFleetShare(retrySlack, this.daemons, MIN_SLACK) };
  }

  /** This daemon's share of the connections that one replica accepts. */
  private get maxOwnConnections(): number {
    const all = this.service?.maxConnections ?? Number.POSITIVE_INFINITY;
    return getFleetShare(all, this.daemons, MIN_CONNECTIONS);
  }
}
