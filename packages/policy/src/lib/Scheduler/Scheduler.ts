import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import { GiveUpReason, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest, SchedulerEffect, SchedulerMessage } from '../messages.js';
import { defaultPolicyOptions } from '../policyOptions.js';
import type { PolicyOptions } from '../policyOptions.js';
import { SharedLimit } from '../SharedLimit/SharedLimit.js';
import type { ServiceSnapshot } from './getServiceSnapshot.js';
import { Phase } from './RequestRecord.js';
import type { RequestRecord } from './RequestRecord.js';
import { ServiceScheduler } from './ServiceScheduler.js';
import { TaskQueue } from './TaskQueue.js';

/**
 * Constructor arguments of a `Scheduler`.
 *
 * @public
 */
export interface SchedulerSettings {
  clock: Clock;
  random: Random;
  /** Overrides of the default options. */
  options?: Partial<PolicyOptions>;
  /** Carries out an effect; may call `handle` again. */
  emit: (effect: SchedulerEffect) => void;
}

/**
 * The state of a scheduler at one moment.
 *
 * @public
 */
export interface SchedulerSnapshot {
  /** Requests that are not running at a replica: not dispatched yet, or waiting to be resumed. */
  waiting: number;
  /** Requests that are running at replicas. */
  running: number;
  draining: boolean;
  services: ServiceSnapshot[];
}

/**
 * Decides which request runs at which replica, and when. It does no I/O: messages report what
 * happened, effects request actions, and time comes from the clock. Each submitted request ends
 * with exactly one `done` or `give-up` effect, unless its caller disconnects first.
 *
 * The owner of the scheduler must report `attempt-ended` for each dispatch, including cancelled
 * ones, except those cancelled because the caller disconnected. It must not deliver tokens to the
 * caller after a cancel.
 *
 * @example
 * ```ts
 * const scheduler = new Scheduler({ clock, random, emit: (effect) => sockets.handle(effect) });
 * scheduler.handle({ kind: 'replicas', replicas });
 * scheduler.handle({ kind: 'submit', request });
 * ```
 * @public
 */
export class Scheduler {
  private readonly options: PolicyOptions;

  private readonly random: Random;

  private readonly clock: Clock;

  private readonly taskQueue: TaskQueue;

  private readonly sharedLimit: SharedLimit;

  private readonly records = new Map<string, RequestRecord>();

  private readonly serviceSchedulers = new Map<string, ServiceScheduler>();

  private readonly serviceByReplica = new Map<string, string>();

  /** Replicas that are shutting down, with the time at which each was last listed. */
  private readonly leavingReplicas = new Map<string, Milliseconds>();

  private isDraining = false;

  constructor({ clock, random, options, emit }: SchedulerSettings) {
    this.options = { ...defaultPolicyOptions, ...options };
    this.random = random;
    this.taskQueue = new TaskQueue(clock, emit);
    this.clock = this.taskQueue.clock;
    this.sharedLimit = new SharedLimit(this.options.subsetSize);
  }

  /**
   * Handles a message. Its effects are emitted before this method returns, unless it is called from
   * within `emit`: then the message is queued.
   */
  handle(message: SchedulerMessage): void {
    this.taskQueue.run(() => this.processMessage(message));
  }

  /** Returns the current state, for metrics and the admin interface. */
  getSnapshot(): SchedulerSnapshot {
    const phases = [...this.records.values()].map(({ phase }) => phase);
    const running = phases.filter((phase) => phase === Phase.Running).length;
    return {
      waiting: phases.length - running,
      running,
      draining: this.isDraining,
      services: [...this.serviceSchedulers.values()].map((service) => service.getSnapshot()),
    };
  }

  /** Stops all timers. The scheduler must not be used afterwards. */
  dispose(): void {
    this.records.forEach((record) => record.enterPhase(Phase.Over));
    this.records.clear();
    this.serviceSchedulers.forEach((service) => service.dispose());
  }

  private processMessage(message: SchedulerMessage): void {
    switch (message.kind) {
      case 'submit':
        this.submit(message.request);
        return;
      case 'caller-left':
        this.withRecord(message.id, (record, service) => service.handleCallerLeft(record));
        return;
      case 'progress':
        this.withAttempt(message, (record, service) =>
          service.handleProgress(record, message.tokens),
        );
        return;
      case 'attempt-ended':
        this.withAttempt(message, (record, service) =>
          service.handleAttemptEnded(record, message.end, message.retryAfter),
        );
        return;
      case 'load-report':
        this.getServiceSchedulerOf(message.report.replica)?.handleLoadReport(message.report);
        return;
      case 'replicas':
        this.setReplicas(message.replicas);
        return;
      case 'replica-leaving':
        this.leavingReplicas.set(message.replica, this.clock.now());
        this.getServiceSchedulerOf(message.replica)?.setLeaving(message.replica, true);
        return;
      case 'replica-returned':
        this.leavingReplicas.delete(message.replica);
        this.getServiceSchedulerOf(message.replica)?.setLeaving(message.replica, false);
        return;
      case 'path-silent':
        this.getServiceSchedulerOf(message.replica)?.handleSilentPath(message.replica);
        return;
      case 'daemons':
        this.sharedLimit.setDaemons(message.self, message.daemons);
        this.serviceSchedulers.forEach((service) => service.updateShares());
        return;
      case 'drain':
        this.isDraining = true;
        return;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private submit(request: ScheduledRequest): void {
    const service = this.serviceSchedulers.get(request.service);
    if (this.records.has(request.id)) {
      return;
    }
    if (!this.isDraining && service !== undefined) {
      service.submit(request);
      return;
    }
    this.taskQueue.emit({
      kind: 'give-up',
      id: request.id,
      outcome: ExecutionOutcome.NotRun,
      reason: this.isDraining ? GiveUpReason.Draining : GiveUpReason.NoReplica,
      retryAfter: this.options.minRetryAfter,
    });
  }

  private setReplicas(replicas: readonly Replica[]): void {
    const now = this.clock.now();
    const replicasByService = new Map<string, Replica[]>();
    this.serviceByReplica.clear();
    replicas.forEach((replica) => {
      this.serviceByReplica.set(replica.id, replica.service);
      replicasByService.set(replica.service, [
        ...(replicasByService.get(replica.service) ?? []),
        replica,
      ]);
      if (this.leavingReplicas.has(replica.id)) {
        this.leavingReplicas.set(replica.id, now);
      }
    });
    this.leavingReplicas.forEach((lastListedAt, replica) => {
      if (now - lastListedAt > this.options.leavingRetention) {
        this.leavingReplicas.delete(replica);
      }
    });
    replicasByService.forEach((_, name) => this.addServiceScheduler(name));
    this.serviceSchedulers.forEach((service, name) =>
      service.setReplicas(replicasByService.get(name) ?? []),
    );
  }

  private addServiceScheduler(name: string): void {
    if (this.serviceSchedulers.has(name)) {
      return;
    }
    const service = new ServiceScheduler({
      service: name,
      clock: this.clock,
      random: this.random,
      options: this.options,
      limit: this.sharedLimit,
      records: this.records,
      isLeaving: (replica) => this.leavingReplicas.has(replica),
      emit: (effect) => this.taskQueue.emit(effect),
    });
    this.serviceSchedulers.set(name, service);
  }

  private getServiceSchedulerOf(replica: string): ServiceScheduler | undefined {
    const name = this.serviceByReplica.get(replica);
    return name === undefined ? undefined : this.serviceSchedulers.get(name);
  }

  private withRecord(
    id: string,
    action: (record: RequestRecord, service: ServiceScheduler) => void,
  ): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      action(record, this.serviceSchedulers.get(record.request.service)!);
    }
  }

  /** Ignores messages about earlier attempts: only the current attempt of a request counts. */
  private withAttempt(
    { id, attempt }: { id: string; attempt: number },
    action: (record: RequestRecord, service: ServiceScheduler) => void,
  ): void {
    this.withRecord(id, (record, service) => {
      if (record.attempt?.number === attempt) {
        action(record, service);
      }
    });
  }
}
