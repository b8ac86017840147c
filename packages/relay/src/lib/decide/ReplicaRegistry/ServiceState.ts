import type { ScalableService, ZoneSupply } from '@apricotrill/duties';
import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../../config/RelayConfiguration.js';
import { getFleetShare } from '../getFleetShare.js';
import { getHomes, getSessionPart } from '../getCachedPrefixes.js';
import { getReplicaGroups } from '../groups/getReplicaGroups.js';
import type { ReplicaGroup } from '../groups/getReplicaGroups.js';
import type { ReplicaLimits } from '../limits/ReplicaLimits/ReplicaLimits.js';
import type { PlacementCriteria } from '../messages.js';
import { EngineLessons } from '../PrefillEstimator/EngineStatistics.js';
import type { PlacementOptions } from '../placementOptions.js';
import { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { RetryBudget } from '../RetryBudget/RetryBudget.js';
import type { RetryLimits } from '../RetryBudget/RetryBudget.js';
import { WaitingList } from '../WaitingList/WaitingList.js';

/** A daemon with one connection could not send while an answer is under way. */
const LEAST_CONNECTIONS = 2;

/** One repeat is always allowed: the first failure of a quiet hour must not be final. */
const LEAST_SLACK = 1;

/** Which replicas a request may go to. */
interface CandidateFilter {
  tried: ReadonlySet<string>;
  now: Milliseconds;
  hasRoom: (state: ReplicaState) => boolean;
}

/** The part of {@link ReplicaLimits} that candidate selection needs. */
export type ServiceLimits = Pick<ReplicaLimits, 'getRate' | 'maySend'>;

/** What the placement core knows of one service. */
export class ServiceState {
  readonly replicas = new Map<string, ReplicaState>();

  readonly waiting = new WaitingList();

  readonly retryBudget: RetryBudget;

  private readonly learned = new EngineLessons();

  private known: RelayService | undefined;

  private daemons: number | undefined;

  /** Undefined until they are asked for, and after each change of the list. */
  private knownGroups: readonly ReplicaGroup[] | undefined;

  constructor(
    private readonly name: string,
    private readonly options: PlacementOptions,
    private readonly limits: ServiceLimits,
  ) {
    this.retryBudget = new RetryBudget(this.retries);
  }

  get service(): RelayService | undefined {
    return this.known;
  }

  /** Takes over what the newest configuration says of it. */
  setService(service: RelayService): void {
    this.known = service;
    this.learned.profile = service.engine;
  }

  /** Takes this daemon's share of what all may do together; what was counted stays. */
  setDaemonCount(daemons: number | undefined): void {
    this.daemons = daemons;
    this.retryBudget.setLimits(this.retries);
  }

  /** The groups of its replicas, each of which has a daemon that chooses for all. */
  get groups(): readonly ReplicaGroup[] {
    this.knownGroups ??= getReplicaGroups(this.name, [...this.replicas.values()]);
    return this.knownGroups;
  }

  /**
   * The group that a request goes to: that of its session's home, so that all daemons take the same.
   * What has no session goes to any, by its key.
   */
  getRequestGroup({ prompt }: PlacementCriteria, key: string): ReplicaGroup | undefined {
    const { groups } = this;
    if (groups.length <= 1) {
      return groups[0];
    }
    const session = (prompt === undefined ? undefined : getSessionPart(prompt)) ?? key;
    const [home] = getHomes(session, [...this.replicas.values()]);
    return groups.find(({ replicas }) => replicas.includes(home!));
  }

  /** The group of a replica. */
  getReplicaGroup(state: ReplicaState): ReplicaGroup | undefined {
    return this.groups.find(({ replicas }) => replicas.includes(state));
  }

  /** Takes over the newest list; what is known of replicas that stay is kept. */
  setReplicas(replicas: readonly RelayReplica[]): void {
    const listed = new Set(replicas.map(({ id }) => id));
    this.knownGroups = undefined;
    [...this.replicas.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.replicas.delete(id));
    replicas.forEach((replica) => {
      const state = this.replicas.get(replica.id);
      if (state === undefined) {
        this.replicas.set(replica.id, new ReplicaState(replica, this.options, this.learned));
      } else {
        state.replica = replica;
      }
    });
  }

  /**
   * The replicas that a request may go to now: not leaving, with room, and not tried yet unless all
   * were. Suspect ones come in only where there is no other.
   */
  getCandidates(tried: ReadonlySet<string>, now: Milliseconds): ReplicaState[] {
    const hasRoom = (state: ReplicaState) => state.hasRoom(this.connections, this.service?.engine);
    const staying = this.getReplicasInService().filter((state) => this.limits.maySend(state));
    return ServiceState.filterCandidates(staying, { tried, now, hasRoom });
  }

  /** The same of one group, for which this daemon chooses for all. */
  getGroupCandidates(
    { replicas }: ReplicaGroup,
    tried: ReadonlySet<string>,
    now: Milliseconds,
  ): ReplicaState[] {
    const hasRoom = (state: ReplicaState) => state.hasRoomForAll(this.service?.engine);
    const staying = replicas.filter((state) => state.isInService && this.limits.maySend(state));
    return ServiceState.filterCandidates(staying, { tried, now, hasRoom });
  }

  private static filterCandidates(
    staying: readonly ReplicaState[],
    { tried, now, hasRoom }: CandidateFilter,
  ): ReplicaState[] {
    const trusted = staying.filter(
      ({ suspicion, breaks }) => suspicion === undefined && !breaks.isAvoided(now),
    );
    const pool = trusted.length > 0 ? trusted : staying;
    const withRoom = pool.filter(hasRoom);
    const fresh = withRoom.filter(({ replica }) => !tried.has(replica.id));
    const open = fresh.length > 0 ? fresh : withRoom;
    const free = open.filter(({ fullUntil }) => fullUntil <= now);
    return free.length > 0 ? free : open;
  }

  /** Replicas that are not about to leave. */
  getReplicasInService(): ReplicaState[] {
    return [...this.replicas.values()].filter((state) => state.isInService);
  }

  /** What is listed of the service, where its replicas can be ordered. */
  getScalableService(): ScalableService | undefined {
    const limits = this.known?.scaling;
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
    return { service: this.name, limits, supply, readRate: this.learned.rate.value };
  }

  /** Whether some of the replicas are limited. */
  hasLimits(): boolean {
    return this.getReplicasInService().some(
      ({ replica }) => this.limits.getRate(replica.id) !== undefined,
    );
  }

  /** Sum of the replica limits in requests per second; undefined unless all replicas are limited. */
  getTotalLimit(): number | undefined {
    const staying = this.getReplicasInService();
    const isLimited = ({ replica }: ReplicaState) => this.limits.getRate(replica.id) !== undefined;
    if (staying.length === 0 || !staying.every(isLimited)) {
      return undefined;
    }
    return staying.reduce((sum, { replica }) => sum + this.limits.getRate(replica.id)!, 0);
  }

  private get retries(): RetryLimits {
    const { retryRatio: ratio, retryWindow: window, retrySlack } = this.options;
    return { ratio, window, slack: getFleetShare(retrySlack, this.daemons, LEAST_SLACK) };
  }

  /** This daemon's part of the connections that one replica takes. */
  private get connections(): number {
    const all = this.service?.maxConnections ?? Number.POSITIVE_INFINITY;
    return getFleetShare(all, this.daemons, LEAST_CONNECTIONS);
  }
}
