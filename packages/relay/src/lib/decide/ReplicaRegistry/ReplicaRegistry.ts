import type { ScalableService } from '@apricotrill/duties';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { AttemptEnd } from '../messages.js';
import type { PlacementEffect, PlacementMessage } from '../messages.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';
import type { RunningAttempt } from '../RequestRecord.js';
import type { RetryLimits } from '../RetryBudget/RetryBudget.js';
import { ServiceState } from './ServiceState.js';
import type { ServiceLimits } from './ServiceState.js';

/** What the book is made of. */
export interface ReplicaRegistryParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  limits: ServiceLimits;
}

/**
 * What is believed of each service and its replicas, and what changes it: lists, reports, the ends
 * of attempts, health checks, and the word of other daemons.
 */
export class ReplicaRegistry {
  private readonly services = new Map<string, ServiceState>();

  /** Undefined while it isn't known. */
  private daemons: number | undefined;

  constructor(private readonly parts: ReplicaRegistryParts) {}

  get allServices(): ServiceState[] {
    return [...this.services.values()];
  }

  /** The service of this name; one that nobody has told of yet has no replicas. */
  getService(name: string): ServiceState {
    const existing = this.services.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const service = new ServiceState(name, this.parts.options, this.parts.limits);
    service.setDaemonCount(this.daemons);
    this.services.set(name, service);
    return service;
  }

  findReplica(id: string): ReplicaState | undefined {
    return this.allServices
      .map(({ replicas }) => replicas.get(id))
      .find((state) => state !== undefined);
  }

  /** @returns the IDs of replicas that disappeared without having announced that they leave */
  setReplicas(replicas: readonly RelayReplica[]): string[] {
    const before = this.allServices.flatMap((service) => service.getReplicasInService());
    replicas.forEach(({ service }) => this.getService(service));
    this.services.forEach((service, name) => {
      service.setReplicas(replicas.filter((replica) => replica.service === name));
    });
    const listed = new Set(replicas.map(({ id }) => id));
    return before.map(({ replica }) => replica.id).filter((id) => !listed.has(id));
  }

  /** Takes over other bounds of repeats; what was counted stays. */
  setRetryLimits(parts: RetryLimits): void {
    const { options } = this.parts;
    options.retryRatio = parts.ratio;
    options.retryWindow = parts.window;
    options.retrySlack = parts.slack;
    this.services.forEach((service) => service.setDaemonCount(this.daemons));
  }

  /** Bounds that all daemons share are divided by their number. */
  setDaemonCount(daemons: number): void {
    this.daemons = daemons;
    this.services.forEach((service) => service.setDaemonCount(daemons));
  }

  /** What the end of an attempt says of its replica. */
  recordAttemptEnd({ state, sentAt }: RunningAttempt, end: AttemptEnd): void {
    const now = this.parts.clock.now();
    switch (end) {
      case AttemptEnd.Completed:
        state.recordSuccess(now - sentAt);
        break;
      case AttemptEnd.Failed:
        state.recordFailure();
        break;
      case AttemptEnd.Refused:
        state.recordRefusal(now);
        break;
      case AttemptEnd.Misdirected:
        this.recordLeaving(state.replica.id);
        break;
      case AttemptEnd.NotSent:
        this.tellBreak(state);
        this.suspect(state, 'no connection can be opened');
        break;
      case AttemptEnd.Broken:
        this.tellBreak(state);
        if (state.recordBrokenAttempt()) {
          this.suspect(state, 'attempts break in a row');
        }
        break;
      case AttemptEnd.Cancelled:
        break;
      default:
        end satisfies never;
    }
  }

  /**
   * Nothing came from a replica for too long, with requests under way. An engine with a long queue is
   * silent as well: suspected for it, busy engines are taken from all daemons one after the other,
   * and the rest get their work. So it is asked first; a plain service is never busy for so long.
   */
  recordSilence(state: ReplicaState): void {
    const { replica } = state;
    if (this.getService(replica.service).service?.engine === undefined) {
      this.noteDark(state);
    } else if (state.suspicion === undefined && state.question()) {
      this.parts.emit({ kind: 'check-liveness', replica });
    }
  }

  /** An attempt broke there, at this daemon or another. */
  recordBrokenAttempt(id: string): void {
    const state = this.findReplica(id);
    const span = state?.breaks.note(this.parts.clock.now());
    if (state !== undefined && span !== undefined) {
      this.parts.emit({ kind: 'start-cooldown', replica: state.replica, span });
    }
  }

  /** @returns whether a replica is trusted again */
  recordHealthCheck({
    replica,
    isHealthy,
  }: Extract<PlacementMessage, { kind: 'health' }>): boolean {
    const state = this.findReplica(replica);
    if (state?.suspicion === undefined || !isHealthy) {
      return false;
    }
    state.trust(this.parts.clock.now());
    this.parts.emit({ kind: 'mark-healthy', replica: state.replica });
    return true;
  }

  /** An engine that was silent has been asked whether it lives. */
  recordLivenessCheck({
    replica,
    isAlive,
  }: Extract<PlacementMessage, { kind: 'liveness-checked' }>): void {
    const state = this.findReplica(replica);
    if (state === undefined) {
      return;
    }
    state.endQuestion(isAlive, this.parts.clock.now());
    if (!isAlive) {
      this.noteDark(state);
    }
  }

  recordLeaving(id: string): void {
    const state = this.findReplica(id);
    if (state !== undefined) {
      state.isLeaving = true;
    }
  }

  /** Repeats that this daemon may send now, by service. */
  getRemainingRetries(): [string, number][] {
    const now = this.parts.clock.now();
    return [...this.services].map(([name, { retryBudget: allowance }]) => [
      name,
      allowance.getRemaining(now),
    ]);
  }

  /** Number of requests waiting for a replica, by service. */
  getWaitingCounts(): [string, number][] {
    return [...this.services].map(([name, { waiting }]) => [name, waiting.size]);
  }

  /** The services whose replicas can be ordered, with what is listed of them. */
  getScalableServices(): ScalableService[] {
    return this.allServices.flatMap((service) => service.getScalableService() ?? []);
  }

  /** How old the last report of each replica is that has sent one. */
  getReportAges(): [string, Milliseconds][] {
    const now = this.parts.clock.now();
    return this.allServices.flatMap(({ replicas }) =>
      [...replicas].flatMap(([id, { lastReport }]): [string, Milliseconds][] =>
        lastReport === undefined ? [] : [[id, now - lastReport.at]],
      ),
    );
  }

  private noteDark(state: ReplicaState): void {
    if (state.suspicion === undefined) {
      this.tellBreak(state);
      this.suspect(state, 'nothing comes from it');
    }
  }

  private tellBreak(state: ReplicaState): void {
    const { id } = state.replica;
    this.parts.emit({ kind: 'share', update: { kind: 'attempt-broken', replica: id } });
    this.recordBrokenAttempt(id);
  }

  /** The replica gets nothing new until a health check clears it, while there are others. */
  private suspect(state: ReplicaState, reason: string): void {
    if (state.suspect(reason)) {
      this.parts.emit({ kind: 'suspect', replica: state.replica, reason });
    }
  }
}
