import { getWeightedRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { getCrossZoneCost } from '../../estimates/getCrossZoneCost.js';
import type { Fleet } from '../../Fleet/Fleet.js';
import type {
  Placement,
  PlacementEffect,
  PlacementRequest,
  PlacementResponse,
} from '../../messages.js';
import type { PlacementOptions } from '../../placementOptions.js';
import type { ReplicaRegistry } from '../../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../../ReplicaRegistry/ServiceState.js';
import type { RequestRecord } from '../../RequestRecord.js';
import { chooseGroup, chooseNextGroup, getRoom, groupChoiceOptions } from '../chooseGroup.js';
import type { GroupOption } from '../chooseGroup.js';
import type { ReplicaGroup } from '../getReplicaGroups.js';
import { GroupReason } from '../GroupReason.js';
import { OverflowShare } from '../OverflowShare/OverflowShare.js';
import { SessionDemand } from '../SessionDemand/SessionDemand.js';

/** Dependencies of {@link GroupRouter}. */
export interface GroupRouterParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  /** Contains the availability zone of this daemon. */
  options: PlacementOptions;
  registry: ReplicaRegistry;
  fleet: Fleet;
}

/** Number of groups that are asked for one attempt. */
const MAX_GROUPS = 2;

/** A request whose group is chosen. */
interface Subject {
  request: PlacementRequest;
  service: ServiceState;
  now: Milliseconds;
  /** The ID of its session; its own ID if it has none that is worth keeping together. */
  session: string;
  /** Time to prefill the part that identifies its session; 0 without one. */
  sessionTime: Milliseconds;
  /** The group of the session's home. */
  home: ReplicaGroup;
}

/**
 * Picks a group for a request that no session ties to one: among those that cost nothing to reach, in
 * proportion to their room.
 *
 * @returns undefined if the load of any of them is unknown
 */
function pickNearby(requestId: string, options: readonly GroupOption[]): GroupOption | undefined {
  const nearby = options.filter(({ crossingCost }) => crossingCost === 0);
  if (nearby.some(({ load }) => load === undefined)) {
    return undefined;
  }
  const byName = new Map(nearby.map((option) => [option.name, option]));
  const [first] = getWeightedRendezvousOrder(
    requestId,
    [...byName.keys()],
    (name) => 1 + getRoom(byName.get(name)!),
  );
  return first === undefined ? undefined : byName.get(first);
}

/**
 * Chooses the group of replicas that each request is sent to. For services that are not under admission
 * control, it is always the home group.
 */
export class GroupRouter {
  /** By service. */
  private readonly demand = new Map<string, SessionDemand>();

  /** By group and latency target. */
  private readonly overflows = new Map<string, OverflowShare>();

  constructor(private readonly parts: GroupRouterParts) {}

  /** Gets the group that a request is sent to. It stays the same until its next attempt starts. */
  getGroup(record: RequestRecord): ReplicaGroup | undefined {
    const { request, askedGroups } = record;
    const service = this.parts.registry.getService(request.service);
    if (!service.isAdmissionControlled || service.groups.length <= 1) {
      return service.getRequestGroup(request, request.id);
    }
    const asked = service.groups.find(({ name }) => name === askedGroups.at(-1)?.name);
    return asked ?? this.chooseFirst(record, service);
  }

  /**
   * Chooses another group after the placer of the first one had no replica for a request, or refused it.
   *
   * @returns false if there is none that announces room and where the request could be in time
   */
  chooseNext(record: RequestRecord): boolean {
    const { request, askedGroups } = record;
    const service = this.parts.registry.getService(request.service);
    const subject = service.isAdmissionControlled ? this.getSubject(request, service) : undefined;
    if (subject === undefined || askedGroups.length >= MAX_GROUPS) {
      return false;
    }
    const asked = new Set(askedGroups.map(({ name }) => name));
    const others = this.getOptions(subject).filter(({ name }) => !asked.has(name));
    const timeLeft = request.arrivedAt + request.latencyTarget - subject.now;
    const inputs = { ...this.getSessionInputs(subject), others };
    const next = chooseNextGroup(inputs, timeLeft);
    if (next === undefined) {
      return false;
    }
    record.queriedPlacers.clear();
    const home = this.createOption(subject, subject.home);
    this.recordChoice(record, subject, { home, chosen: next, reason: GroupReason.Refused });
    return true;
  }

  /** Learns the wait in a group from the response of its placer to a query. */
  recordResponse(
    { request, askedGroups }: RequestRecord,
    placer: string,
    { placement, queued }: PlacementResponse,
  ): void {
    const { registry, clock } = this.parts;
    const group = askedGroups.at(-1);
    const wait = placement === undefined ? queued?.expectedWait : this.getWait(placement);
    if (group !== undefined && wait !== undefined) {
      const { groupLoads } = registry.getService(request.service);
      groupLoads.recordWait(placer, group.name, wait, clock.now());
    }
  }

  /** The wait for the prompts before the one that was placed. */
  private getWait({ replica, tokensAhead, missingTokens }: Placement): Milliseconds | undefined {
    const state = this.parts.registry.findReplica(replica);
    return state === undefined ? undefined : (tokensAhead - missingTokens) / state.prefillRate;
  }

  private chooseFirst(record: RequestRecord, service: ServiceState): ReplicaGroup | undefined {
    const subject = this.getSubject(record.request, service);
    if (subject === undefined) {
      return undefined;
    }
    const options = this.getOptions(subject);
    const hasSession = subject.sessionTime > 0;
    const nearby = hasSession ? undefined : pickNearby(record.request.id, options);
    const home = nearby ?? options.find(({ name }) => name === subject.home.name)!;
    const others = options.filter(({ name }) => name !== home.name);
    const { latencyTarget } = record.request;
    const overflow = this.getOverflow(home, latencyTarget, subject.now);
    const inputs = { ...this.getSessionInputs(subject), home, others, latencyTarget, overflow };
    const chosen = chooseGroup(inputs);
    const homeReason = nearby === undefined ? GroupReason.Home : GroupReason.Room;
    const reason = chosen === home ? homeReason : GroupReason.Wait;
    this.recordChoice(record, subject, { home, chosen, reason });
    return service.groups.find(({ name }) => name === chosen.name);
  }

  /** @returns undefined if the service has no replicas */
  private getSubject(request: PlacementRequest, service: ServiceState): Subject | undefined {
    const home = service.getRequestGroup(request, request.id);
    if (home === undefined) {
      return undefined;
    }
    const { prompt } = request;
    const sessionPart = prompt?.parts.at(-2);
    const time = (sessionPart?.tokens ?? 0) / home.replicas[0]!.prefillRate;
    const subject = { request, service, now: this.parts.clock.now(), home };
    // A part that takes less to prefill than to send elsewhere is no reason to leave the zone.
    return sessionPart === undefined || time <= this.getCrossingCost(request, home)
      ? { ...subject, session: request.id, sessionTime: 0 }
      : { ...subject, session: sessionPart.id, sessionTime: time };
  }

  private getCrossingCost(request: PlacementRequest, { replicas }: ReplicaGroup): Milliseconds {
    const { options } = this.parts;
    return Math.min(...replicas.map((state) => getCrossZoneCost({ request, options }, state)));
  }

  private getOptions(subject: Subject): GroupOption[] {
    return subject.service.groups
      .filter(({ replicas }) => replicas.length > 0)
      .map((group) => this.createOption(subject, group));
  }

  private createOption(
    { request, service, now, session, sessionTime, home }: Subject,
    group: ReplicaGroup,
  ): GroupOption {
    const { name } = group;
    const isCached = group === home || this.getDemand(service).isCached(session, name, now);
    return {
      name,
      load: service.groupLoads.get(name, this.parts.fleet.getPlacers(name), now),
      crossingCost: this.getCrossingCost(request, group),
      prefillTime: isCached ? 0 : sessionTime,
    };
  }

  /** The share of the requests with a latency target that a group can't serve in time. */
  private getOverflow(
    { name, load }: GroupOption,
    latencyTarget: Milliseconds,
    now: Milliseconds,
  ): number {
    const key = `${name} ${latencyTarget}`;
    const overflow = this.overflows.get(key) ?? new OverflowShare();
    this.overflows.set(key, overflow);
    if (load === undefined) {
      overflow.reset();
    } else {
      const acceptable = latencyTarget * groupChoiceOptions.acceptableWaitRatio;
      overflow.update(load.expectedWait, now - load.age, acceptable);
    }
    return overflow.share;
  }

  private getSessionInputs({ request, service, session, now }: Subject) {
    const spread = this.getDemand(service).getSpread(session, service.groups.length, now);
    return { requestId: request.id, session, spread };
  }

  private recordChoice(
    record: RequestRecord,
    { request, service, now, session, sessionTime, home }: Subject,
    choice: { home: GroupOption; chosen: GroupOption; reason: GroupReason },
  ): void {
    const { chosen, reason } = choice;
    // Without a prompt, the placer would choose by the key of the query.
    const isHome = chosen.name === home.name && request.prompt !== undefined;
    record.askedGroups.push({ name: chosen.name, isHome });
    if (sessionTime > 0) {
      this.getDemand(service).record(session, chosen.name, now);
    }
    this.parts.emit({
      kind: 'group-chosen',
      id: request.id,
      service: service.name,
      group: chosen.name,
      home: choice.home.name,
      reason,
      load: chosen.load,
      homeLoad: choice.home.load,
    });
  }

  private getDemand({ name }: ServiceState): SessionDemand {
    const known = this.demand.get(name);
    if (known !== undefined) {
      return known;
    }
    const demand = new SessionDemand();
    this.demand.set(name, demand);
    return demand;
  }
}
