import type { ScalableService } from '@apricotrill/duties';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import type { ReplicaFragility } from '../fragility/ReplicaFragility/ReplicaFragility.js';
import { LeavingReplicas } from '../LeavingReplicas/LeavingReplicas.js';
import { AttemptEnd, ProbeResult } from '../messages.js';
import type { GroupLoad, PlacementEffect, PlacementMessage } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { RunningAttempt } from '../RequestRecord.js';
import type { RetryLimits } from '../RetryBudget/RetryBudget.js';
import { UnverifiedFailures } from '../UnverifiedFailures/UnverifiedFailures.js';
import { ServiceState } from './ServiceState.js';
import type { ServiceBackoffs, ServiceFragility, ServiceLimits } from './ServiceState.js';

/** Constructor arguments of {@link ReplicaRegistry}. */
export interface ReplicaRegistrySettings {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  limits: ServiceLimits;
  backoffs: ServiceBackoffs;
  fragility: ServiceFragility & Pick<ReplicaFragility, 'recordRejection'>;
}

/**
 * The state of each service and its replicas, updated by replica lists, load reports, results of
 * attempts, health checks and updates from peers.
 */
export class ReplicaRegistry {
  private readonly services = new Map<string, ServiceState>();

  private readonly leaving = new LeavingReplicas();

  /** The number of daemons; undefined while unknown. */
  private daemons: number | undefined;

  private readonly unverified: UnverifiedFailures;

  constructor(private readonly settings: ReplicaRegistrySettings) {
    this.unverified = new UnverifiedFailures({
      emit: settings.emit,
      onAttributed: (replica, count) => this.announceFailures(replica, count),
    });
  }

  get allServices(): ServiceState[] {
    return [...this.services.values()];
  }

  /** Gets a service by name. A service that is not known yet is created without replicas. */
  getService(name: string): ServiceState {
    const existing = this.services.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const { clock, options, limits, backoffs, fragility } = this.settings;
    const service = new ServiceState(name, options, limits, backoffs, fragility, clock);
    service.setDaemonCount(this.daemons);
    this.services.set(name, service);
    return service;
  }

  findReplica(id: string): ReplicaState | undefined {
    return this.allServices
      .map(({ replicas }) => replicas.get(id))
      .find((state) => state !== undefined);
  }

  /** @returns the IDs of replicas that were removed without having announced that they leave */
  setReplicas(replicas: readonly RelayReplica[]): string[] {
    const before = this.allServices.flatMap((service) => service.getReplicasInService());
    replicas.forEach(({ id, isDraining, service }) => {
      this.getService(service);
      if (isDraining) {
        this.leaving.add(id);
      }
    });
    this.services.forEach((service, name) => {
      service.setReplicas(replicas.filter((replica) => replica.service === name));
      service.replicas.forEach((state, id) => {
        Object.assign(state, { isLeaving: state.isLeaving || this.leaving.has(id) });
      });
    });
    const listed = new Set(replicas.map(({ id }) => id));
    return before.map(({ replica }) => replica.id).filter((id) => !listed.has(id));
  }

  /** Whether a group belongs to a service under admission control. */
  isAdmissionControlled(group: string): boolean {
    return this.allServices.some(
      ({ isAdmissionControlled, groups }) =>
        isAdmissionControlled && groups.some(({ name }) => name === group),
    );
  }

  /** Records the loads that a daemon announced of the groups of a service of which it is a placer. */
  recordGroupLoads(sender: string, service: string, loads: readonly GroupLoad[]): void {
    const now = this.settings.clock.now();
    loads.forEach((load) => this.getService(service).groupLoads.record(sender, load, now));
  }

  /** Replaces the retry limits; the counts of the current window are kept. */
  setRetryLimits(limits: RetryLimits): void {
    const { options } = this.settings;
    options.retryRatio = limits.ratio;
    options.retryWindow = limits.window;
    options.retrySlack = limits.slack;
    this.services.forEach((service) => service.setDaemonCount(this.daemons));
  }

  /** Sets the number of daemons, by which limits that all daemons share are divided. */
  setDaemonCount(daemons: number): void {
    this.daemons = daemons;
    this.services.forEach((service) => service.setDaemonCount(daemons));
  }

  /** Updates the state of a replica with the result of an attempt. */
  recordAttemptEnd({ state, sentAt }: RunningAttempt, end: AttemptEnd): void {
    const now = this.settings.clock.now();
    const { expectedFailureRate } = state;
    switch (end) {
      case AttemptEnd.Completed:
        state.recordSuccess(now - sentAt, now);
        break;
      case AttemptEnd.Failed:
        state.recordFailure();
        break;
      case AttemptEnd.Refused:
        state.recordRefusal(now);
        this.settings.fragility.recordRejection(state);
        break;
      case AttemptEnd.Misdirected:
        Object.assign(state, { isLeaving: true });
        break;
      case AttemptEnd.NotSent:
        this.suspect(state, 'cannot open a connection');
        this.unverified.add(state, expectedFailureRate);
        break;
      case AttemptEnd.Broken:
        if (state.recordBrokenAttempt()) {
          this.suspect(state, 'consecutive attempts broke');
        }
        this.unverified.add(state, expectedFailureRate);
        break;
      case AttemptEnd.NoPath:
      case AttemptEnd.Unread:
      case AttemptEnd.Cancelled:
      case AttemptEnd.Withdrawn:
        break;
      default:
        end satisfies never;
    }
  }

  /**
   * Handles a replica that has sent nothing for too long with requests in flight. An engine with a
   * long queue is silent as well. If that made it suspect, busy engines would be taken out of
   * service one after the other, and the remaining ones would get their load. Therefore an engine
   * gets a liveness check first. A plain service is never busy for that long.
   */
  recordSilence(state: ReplicaState): void {
    const { replica } = state;
    if (this.settings.backoffs.isBackedOff(replica.id)) {
      return;
    }
    if (this.getService(replica.service).service?.engine === undefined) {
      this.suspectUnresponsive(state);
    } else if (state.suspectReason === undefined && state.beginLivenessCheck()) {
      this.settings.emit({ kind: 'check-liveness', replica });
    }
  }

  /** Records an attempt of this daemon or a peer that broke at a replica. */
  recordBrokenAttempt(id: string): void {
    const state = this.findReplica(id);
    const span = state?.cooldown.recordBrokenAttempt(this.settings.clock.now());
    if (state !== undefined && span !== undefined) {
      this.settings.emit({ kind: 'start-cooldown', replica: state.replica, span });
    }
  }

  /** @returns whether the replica is no longer suspect */
  recordHealthCheck({
    replica,
    isHealthy,
  }: Extract<PlacementMessage, { kind: 'health' }>): boolean {
    const state = this.findReplica(replica);
    if (state?.suspectReason === undefined || !isHealthy) {
      return false;
    }
    state.clearSuspicion(this.settings.clock.now());
    this.settings.emit({ kind: 'mark-healthy', replica: state.replica });
    return true;
  }

  /** Attributes failures at a replica to it, or ends its suspicion if only the path is at fault. */
  recordProbe(replica: string, result: ProbeResult): void {
    const state = this.findReplica(replica);
    const isSuspect = state?.suspectReason !== undefined;
    this.unverified.handleProbeResult(replica, result);
    if (state !== undefined && isSuspect && result === ProbeResult.PathLost) {
      state.clearSuspicion(this.settings.clock.now());
      this.settings.emit({ kind: 'mark-healthy', replica: state.replica });
    }
  }

  /** Records the result of the liveness check of a silent engine. */
  recordLivenessCheck({
    replica,
    isAlive,
  }: Extract<PlacementMessage, { kind: 'liveness-checked' }>): void {
    const state = this.findReplica(replica);
    if (state === undefined) {
      return;
    }
    state.endLivenessCheck(isAlive, this.settings.clock.now());
    if (!isAlive) {
      this.suspectUnresponsive(state);
    }
  }

  /**
   * Records that a replica announced that it is about to leave.
   *
   * @returns whether this is new
   */
  recordLeaving(id: string): boolean {
    const state = this.findReplica(id);
    if (state !== undefined) {
      state.isLeaving = true;
    }
    return this.leaving.add(id);
  }

  /** Whether a replica is known to leave, even if it is not listed at the moment. */
  isLeaving(id: string): boolean {
    return this.leaving.has(id) || this.findReplica(id)?.isInService === false;
  }

  /** The newest announcements that the replica list does not show yet. */
  getLeavingReplicas(): string[] {
    return this.leaving.getNewest((id) => this.findReplica(id)?.replica.isDraining === false);
  }

  /** Retries that this daemon may send now, by service. */
  getRemainingRetries(): [string, number][] {
    const now = this.settings.clock.now();
    return [...this.services].map(([name, { retryBudget }]) => [
      name,
      retryBudget.getRemaining(now),
    ]);
  }

  /** Number of requests waiting for a replica, by service. */
  getWaitingCounts(): [string, number][] {
    return [...this.services].map(([name, { waiting }]) => [name, waiting.size]);
  }

  /** The services that can be scaled, with their current supply of replicas. */
  getScalableServices(): ScalableService[] {
    return this.allServices.flatMap((service) => service.getScalableService() ?? []);
  }

  /** Age of the last load report, by ID of the replicas that have sent one. */
  getReportAges(): [string, Milliseconds][] {
    const now = this.settings.clock.now();
    return this.allServices.flatMap(({ replicas }) =>
      [...replicas].flatMap(([id, { lastReport }]): [string, Milliseconds][] =>
        lastReport === undefined ? [] : [[id, now - lastReport.receivedAt]],
      ),
    );
  }

  private suspectUnresponsive(state: ReplicaState): void {
    if (state.suspectReason === undefined) {
      this.suspect(state, 'no response for too long');
      this.unverified.add(state, state.expectedFailureRate);
    }
  }

  /** Counts failures for which a replica is responsible, here and at all other daemons. */
  private announceFailures(replica: string, count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.settings.emit({ kind: 'share', update: { kind: 'attempt-broken', replica } });
      this.recordBrokenAttempt(replica);
    }
  }

  /**
   * Makes a replica suspect: until a health check succeeds, it gets no new requests as long as
   * other replicas are available.
   */
  private suspect(state: ReplicaState, reason: string): void {
    if (state.suspect(reason)) {
      this.settings.emit({ kind: 'suspect', replica: state.replica, reason });
    }
  }
}
