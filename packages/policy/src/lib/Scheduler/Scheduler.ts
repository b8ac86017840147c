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
 * What a scheduler is made of.
 *
 * @public
 */
export interface SchedulerSettings {
  clock: Clock;
  random: Random;
  /** What differs from the defaults. */
  options?: Partial<PolicyOptions>;
  /** Does what the scheduler wants; it may call `handle` again. */
  emit: (effect: SchedulerEffect) => void;
}

/**
 * The state of a scheduler.
 *
 * @public
 */
export interface SchedulerSnapshot {
  /** Requests that have not been sent, or wait to go on. */
  waiting: number;
  /** Requests that run at replicas. */
  running: number;
  draining: boolean;
  services: ServiceSnapshot[];
}

/**
 * Decides which request runs where and when. It does no I/O: messages say what happened, effects
 * say what to do, and time comes from the clock. Each submitted request ends with one `done` or
 * one `give-up`, unless its caller left.
 *
 * The owner reports an `attempt-ended` for each dispatch, also for one that it was told to cancel
 * (except for a caller that left); it hands nothing over after a cancel.
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

  private readonly tasks: TaskQueue;

  private readonly limit: SharedLimit;

  private readonly records = new Map<string, RequestRecord>();

  private readonly services = new Map<string, ServiceScheduler>();

  private readonly serviceOf = new Map<string, string>();

  /** Replicas that are leaving, and when each was last in the list. */
  private readonly leaving = new Map<string, Milliseconds>();

  private isDraining = false;

  constructor({ clock, random, options, emit }: SchedulerSettings) {
    this.options = { ...defaultPolicyOptions, ...options };
    this.random = random;
    this.tasks = new TaskQueue(clock, emit);
    this.clock = this.tasks.clock;
    this.limit = new SharedLimit(this.options.subsetSize);
  }

  /** Takes a message; the effects are emitted before it returns, unless it was called by one. */
  handle(message: SchedulerMessage): void {
    this.tasks.run(() => this.apply(message));
  }

  /** The state as it is now, for metrics and for people. */
  getSnapshot(): SchedulerSnapshot {
    const phases = [...this.records.values()].map(({ phase }) => phase);
    const running = phases.filter((phase) => phase === Phase.Running).length;
    return {
      waiting: phases.length - running,
      running,
      draining: this.isDraining,
      services: [...this.services.values()].map((service) => service.getSnapshot()),
    };
  }

  /** Stops all timers; the scheduler must not be used any more. */
  dispose(): void {
    this.records.forEach((record) => record.enter(Phase.Over));
    this.records.clear();
    this.services.forEach((service) => service.dispose());
  }

  private apply(message: SchedulerMessage): void {
    switch (message.kind) {
      case 'submit':
        this.submit(message.request);
        return;
      case 'caller-left':
        this.withRecord(message.id, (record, service) => service.callerLeft(record));
        return;
      case 'progress':
        this.withAttempt(message, (record, service) => service.progress(record, message.tokens));
        return;
      case 'attempt-ended':
        this.withAttempt(message, (record, service) =>
          service.attemptEnded(record, message.end, message.retryAfter),
        );
        return;
      case 'load-report':
        this.getServiceOf(message.report.replica)?.report(message.report);
        return;
      case 'replicas':
        this.setReplicas(message.replicas);
        return;
      case 'replica-leaving':
        this.leaving.set(message.replica, this.clock.now());
        this.getServiceOf(message.replica)?.setLeaving(message.replica, true);
        return;
      case 'replica-returned':
        this.leaving.delete(message.replica);
        this.getServiceOf(message.replica)?.setLeaving(message.replica, false);
        return;
      case 'path-silent':
        this.getServiceOf(message.replica)?.pathSilent(message.replica);
        return;
      case 'daemons':
        this.limit.setDaemons(message.self, message.daemons);
        this.services.forEach((service) => service.updateShares());
        return;
      case 'drain':
        this.isDraining = true;
        return;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private submit(request: ScheduledRequest): void {
    const service = this.services.get(request.service);
    if (this.records.has(request.id)) {
      return;
    }
    if (!this.isDraining && service !== undefined) {
      service.submit(request);
      return;
    }
    this.tasks.emit({
      kind: 'give-up',
      id: request.id,
      outcome: ExecutionOutcome.NotRun,
      reason: this.isDraining ? GiveUpReason.Draining : GiveUpReason.NoReplica,
      retryAfter: this.options.minRetryAfter,
    });
  }

  private setReplicas(replicas: readonly Replica[]): void {
    const now = this.clock.now();
    const byService = new Map<string, Replica[]>();
    this.serviceOf.clear();
    replicas.forEach((replica) => {
      this.serviceOf.set(replica.id, replica.service);
      byService.set(replica.service, [...(byService.get(replica.service) ?? []), replica]);
      if (this.leaving.has(replica.id)) {
        this.leaving.set(replica.id, now);
      }
    });
    this.leaving.forEach((lastListed, replica) => {
      if (now - lastListed > this.options.leavingMemory) {
        this.leaving.delete(replica);
      }
    });
    byService.forEach((_, name) => this.addService(name));
    this.services.forEach((service, name) => service.setReplicas(byService.get(name) ?? []));
  }

  private addService(name: string): void {
    if (this.services.has(name)) {
      return;
    }
    const service = new ServiceScheduler({
      service: name,
      clock: this.clock,
      random: this.random,
      options: this.options,
      limit: this.limit,
      records: this.records,
      isLeaving: (replica) => this.leaving.has(replica),
      emit: (effect) => this.tasks.emit(effect),
    });
    this.services.set(name, service);
  }

  private getServiceOf(replica: string): ServiceScheduler | undefined {
    const name = this.serviceOf.get(replica);
    return name === undefined ? undefined : this.services.get(name);
  }

  private withRecord(
    id: string,
    act: (record: RequestRecord, service: ServiceScheduler) => void,
  ): void {
    const record = this.records.get(id);
    if (record !== undefined) {
      act(record, this.services.get(record.request.service)!);
    }
  }

  /** Acts only on the attempt that is under way: word of an earlier one says nothing any more. */
  private withAttempt(
    { id, attempt }: { id: string; attempt: number },
    act: (record: RequestRecord, service: ServiceScheduler) => void,
  ): void {
    this.withRecord(id, (record, service) => {
      if (record.attempt?.number === attempt) {
        act(record, service);
      }
    });
  }
}
