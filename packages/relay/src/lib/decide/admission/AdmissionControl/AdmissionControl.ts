import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { Fleet } from '../../Fleet/Fleet.js';
import type { PlacementEffect, PlacementQuery, PlacementUpdate } from '../../messages.js';
import type { ReplicaRegistry } from '../../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../../ReplicaRegistry/ServiceState.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { recordChoice } from '../../ReplicaTrial/recordChoice.js';
import type { AdmissionGroup } from '../AdmissionGroup.js';
import { createAdmissionRecord } from '../AdmissionRecord.js';
import type { AdmissionDecision, Applicant } from '../Applicant.js';

/** What the admission of a group needs from its surroundings. */
export interface AdmissionGroupSettings {
  service: ServiceState;
  /** Name of the replica group. */
  group: string;
  onDecision: (decision: AdmissionDecision) => void;
  onFault: (error: unknown) => void;
}

/** Creates the admission of one replica group. */
export type AdmissionGroupFactory = (settings: AdmissionGroupSettings) => AdmissionGroup;

/** A request of this daemon or a peer that asks the placer of a replica group to begin. */
export interface Application extends Required<PlacementQuery> {
  /** The daemon that received the request. */
  daemon: string;
}

/** What the placer answers. Each application that is not withdrawn gets one answer that ends it. */
export type AdmissionAnswer =
  | AdmissionDecision
  /** This daemon is no longer a placer of the group, and another one has to be asked. */
  | { kind: 'no-room' };

/** Dependencies of {@link AdmissionControl}. */
export interface AdmissionControlParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  fleet: Fleet;
  registry: ReplicaRegistry;
  createGroup: AdmissionGroupFactory;
}

/** Announced for groups without an engine that could take a request. */
const MAX_ANNOUNCED_WAIT: Milliseconds = 60_000;

/** Time in which all daemons have told a new placer of their attempts, which they do each second. */
const SETTLING_TIME: Milliseconds = 1_200;

interface ControlledGroup {
  service: ServiceState;
  admission: AdmissionGroup;
  /** Whether this daemon was the first placer of the group when the fleet or the replicas last changed. */
  isFirst: boolean;
}

interface PendingApplication {
  application: Application;
  group: string;
  admission: AdmissionGroup;
  /** The wait that was promised, and when; undefined until a wait was. */
  promise?: { expectedWait: Milliseconds; madeAt: Milliseconds };
  onAnswer: (answer: AdmissionAnswer) => void;
}

/**
 * Decides, for the replica groups of which this daemon is a placer, which requests of all daemons begin,
 * wait or are refused.
 *
 * Load pattern: requests ask for more than the engines of a group can do, and arrive at all daemons.
 * Daemons that decide by themselves fill the same gap at the same moment, and what a workspace may use
 * depends on the daemons to which its calls come. The placer knows all attempts at its engines.
 */
export class AdmissionControl {
  private readonly groups = new Map<string, ControlledGroup>();

  private readonly pending = new Map<string, PendingApplication>();

  /** Since when this daemon has been a placer, by group. */
  private placerSince = new Map<string, Milliseconds>();

  constructor(private readonly parts: AdmissionControlParts) {}

  /** Whether this daemon has decided about requests of any group that it is still a placer of. */
  get isActive(): boolean {
    return this.groups.size > 0;
  }

  /** Number of applications that wait, by service. */
  getWaitingCounts(): [string, number][] {
    const counts = new Map<string, number>();
    this.groups.forEach(({ service, admission }) => {
      counts.set(service.name, (counts.get(service.name) ?? 0) + admission.size);
    });
    return [...counts];
  }

  /**
   * Decides about a request at once. `onAnswer` is called with the decision, possibly before this method
   * returns, and once more when a request that waits begins or is refused.
   */
  apply(application: Application, onAnswer: PendingApplication['onAnswer']): void {
    const id = AdmissionControl.getId(application);
    const service = this.parts.registry.getService(application.criteria.service);
    const group = AdmissionControl.findGroup(service, application);
    if (group === undefined || (service.isFragile && this.isSettling(group))) {
      onAnswer({ kind: 'no-room' });
      return;
    }
    const { admission } = this.getGroup(service, group);
    this.pending.set(id, { application, group, admission, onAnswer });
    admission.submit(this.createApplicant(id, application));
  }

  /** Removes an application that has ended for its daemon. */
  withdraw(application: Pick<Application, 'daemon' | 'key'>): void {
    const id = AdmissionControl.getId(application);
    const pending = this.pending.get(id);
    if (pending !== undefined) {
      this.pending.delete(id);
      pending.admission.withdraw(id);
    }
  }

  /** Decides again about the waiting requests of a replica's group. */
  review(state: ReplicaState): void {
    if (this.pending.size > 0) {
      const service = this.parts.registry.getService(state.replica.service);
      const group = service.getReplicaGroup(state)?.name;
      const admission = group === undefined ? undefined : this.groups.get(group)?.admission;
      admission?.review();
    }
  }

  /** Decides again about all waiting requests. */
  reviewAll(): void {
    if (this.pending.size > 0) {
      this.groups.forEach(({ admission }) => admission.review());
    }
  }

  /**
   * Adapts to a change of the fleet or of the replicas. What waits for groups that have another placer now
   * is answered, so that its daemons ask there.
   */
  updateGroups(): void {
    this.updateTerms();
    this.groups.forEach((entry, name) => {
      const isFirst = this.isFirstPlacer(name);
      const isKept = entry.service.groups.some((group) => group.name === name);
      if (isKept && this.isPlacer(name) && (isFirst || !entry.isFirst)) {
        this.groups.set(name, { ...entry, isFirst });
        entry.admission.review();
      } else {
        this.dissolve(name, entry);
      }
    });
  }

  /** Returns the loads of the groups of which this daemon is the first placer, for all daemons. */
  getPeriodicUpdates(): Extract<PlacementUpdate, { kind: 'group-loads' }>[] {
    return this.parts.registry.allServices
      .filter(({ isAdmissionControlled }) => isAdmissionControlled)
      .flatMap((service) => {
        const own = service.groups.filter(({ name }) => this.isFirstPlacer(name));
        const loads = own.map(({ name }) => {
          const { expectedWait, room } = this.getGroup(service, name).admission.getLoad();
          return { group: name, expectedWait: Math.min(expectedWait, MAX_ANNOUNCED_WAIT), room };
        });
        return loads.length === 0
          ? []
          : [{ kind: 'group-loads' as const, service: service.name, loads }];
      });
  }

  /** Records since when this daemon has been a placer of each group. */
  private updateTerms(): void {
    const { clock, registry } = this.parts;
    const names = registry.allServices.flatMap(({ groups }) => groups.map(({ name }) => name));
    const own = names.filter((name) => this.isPlacer(name));
    this.placerSince = new Map(
      own.map((name) => [name, this.placerSince.get(name) ?? clock.now()]),
    );
  }

  /**
   * Whether this daemon has become a placer of a group so recently that it may not know of all attempts in
   * flight there. Until then, its deputy decides.
   */
  private isSettling(group: string): boolean {
    const { clock, fleet } = this.parts;
    const since = this.placerSince.get(group) ?? clock.now();
    return fleet.members.length > 1 && clock.now() - since < SETTLING_TIME;
  }

  private getGroup(service: ServiceState, name: string): ControlledGroup {
    const existing = this.groups.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const admission = this.parts.createGroup({
      service,
      group: name,
      onDecision: (decision) => this.handleDecision(decision),
      onFault: (error) => this.parts.emit({ kind: 'fault', step: 'admit requests', error }),
    });
    const entry = { service, admission, isFirst: this.isFirstPlacer(name) };
    this.groups.set(name, entry);
    return entry;
  }

  private handleDecision(decision: AdmissionDecision): void {
    const { id } = decision.applicant;
    const pending = this.pending.get(id);
    if (pending === undefined) {
      return;
    }
    this.record(pending, decision);
    switch (decision.kind) {
      case 'begin':
        this.pending.delete(id);
        recordChoice(decision.chosen.state, this.getGroupReplicas(pending));
        break;
      case 'wait':
        pending.promise = {
          expectedWait: decision.expectedWait,
          madeAt: this.parts.clock.now(),
        };
        break;
      case 'refuse':
        this.pending.delete(id);
        break;
      default:
        decision satisfies never;
    }
    pending.onAnswer(decision);
  }

  private record(pending: PendingApplication, decision: AdmissionDecision): void {
    const { application, group, admission, promise } = pending;
    const { daemon, key } = application;
    const inputs = { daemon, key, group, promise, waiting: admission.size };
    const record = createAdmissionRecord(decision, { ...inputs, now: this.parts.clock.now() });
    this.parts.emit({ kind: 'admission-decided', record });
  }

  private getGroupReplicas({ application, group }: PendingApplication): readonly ReplicaState[] {
    const service = this.parts.registry.getService(application.criteria.service);
    return service.groups.find(({ name }) => name === group)?.replicas ?? [];
  }

  private dissolve(name: string, { admission }: ControlledGroup): void {
    this.groups.delete(name);
    admission.dissolve().forEach(({ id }) => {
      const pending = this.pending.get(id);
      this.pending.delete(id);
      pending?.onAnswer({ kind: 'no-room' });
    });
  }

  private createApplicant(id: string, application: Application): Applicant {
    const { criteria, claim, availabilityZone, excludedReplicas } = application;
    const now = this.parts.clock.now();
    return {
      id,
      criteria,
      workspace: claim.workspace,
      fingerprint: claim.fingerprint,
      arrivedAt: now - claim.waited,
      deadline: now + claim.timeLeft,
      availabilityZone,
      excludedReplicas: new Set(excludedReplicas),
    };
  }

  /** Whether this daemon is the first placer of a group, or the only daemon. */
  private isFirstPlacer(group: string): boolean {
    const { fleet } = this.parts;
    return fleet.members.length <= 1 || fleet.getPlacers(group)[0] === fleet.self;
  }

  private isPlacer(group: string): boolean {
    const { fleet } = this.parts;
    return fleet.members.length <= 1 || fleet.getPlacers(group).includes(fleet.self);
  }

  /** The group that the daemon asks for, or the home of the request if this daemon sees other groups. */
  private static findGroup(service: ServiceState, application: Application): string | undefined {
    const { criteria, claim, key } = application;
    const stated = service.groups.find(({ name }) => name === claim.group);
    return (stated ?? service.getRequestGroup(criteria, key))?.name;
  }

  private static getId({ daemon, key }: Pick<Application, 'daemon' | 'key'>): string {
    return `${daemon} ${key}`;
  }
}
