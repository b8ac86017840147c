import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, CancelReason, GiveUpReason, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest, SchedulerMessage } from '../messages.js';
import type { SchedulerSettings } from '../Scheduler/Scheduler.js';
import { TaskQueue } from '../Scheduler/TaskQueue.js';
import { Heap } from '../structures/Heap.js';
import { BaselineJob } from './BaselineJob.js';
import type { BaselineReplica, BaselineRules } from './BaselineRules.js';

/** How often a request is sent at most. */
const MAX_ATTEMPTS = 3;

/** Requests that wait for one service at most. */
const MAX_WAITING = 4096;

const RETRY_AFTER: Milliseconds = 1000;

/** Silence between tokens that the owner should allow; long, since baselines don't watch it. */
const TOKEN_GAP_TIMEOUT: Milliseconds = 10_000;

/**
 * A plain scheduler to compare with: one queue for each service, a number of requests at each
 * replica up to its slots, up to three attempts. It knows no floors, shares, budgets, load reports
 * or preemption, and refuses only when a request's deadline has come. It keeps the promises on
 * whole answers and on what may not be repeated, or the comparison would be unfair the other way.
 *
 * @internal
 */
export class Baseline {
  private readonly clock: Clock;

  private readonly tasks: TaskQueue;

  private readonly rules: BaselineRules;

  private readonly jobs = new Map<string, BaselineJob>();

  private readonly queues = new Map<string, Heap<BaselineJob>>();

  private readonly leaving = new Set<string>();

  private readonly outstanding = new Map<string, number>();

  private replicas: Replica[] = [];

  private sequence = 0;

  private isDraining = false;

  constructor({ clock, emit }: SchedulerSettings, rules: BaselineRules) {
    this.tasks = new TaskQueue(clock, emit);
    this.clock = this.tasks.clock;
    this.rules = rules;
  }

  /** Takes a message; reports of load, silence and daemons mean nothing to a baseline. */
  handle(message: SchedulerMessage): void {
    this.tasks.run(() => this.apply(message));
  }

  /** Forgets everything. */
  dispose(): void {
    this.jobs.clear();
    this.queues.clear();
  }

  private apply(message: SchedulerMessage): void {
    if (message.kind === 'submit') {
      this.submit(message.request);
    } else if (message.kind === 'caller-left') {
      this.callerLeft(message.id);
    } else if (message.kind === 'progress') {
      this.getRunning(message)?.progress(message.tokens);
    } else if (message.kind === 'attempt-ended') {
      this.attemptEnded(this.getRunning(message), message.end);
    } else if (message.kind === 'replicas') {
      this.replicas = message.replicas;
    } else if (message.kind === 'replica-leaving') {
      this.leaving.add(message.replica);
    } else if (message.kind === 'replica-returned') {
      this.leaving.delete(message.replica);
    } else if (message.kind === 'drain') {
      this.isDraining = true;
    }
    [...this.queues.keys()].forEach((service) => this.pump(service));
  }

  private submit(request: ScheduledRequest): void {
    this.sequence += 1;
    const rank = this.rules.getRank(request.serviceClass);
    const job = new BaselineJob(request, rank, this.sequence);
    this.jobs.set(request.id, job);
    if (this.isDraining) {
      this.giveUp(job, GiveUpReason.Draining);
    } else if ((this.queues.get(request.service)?.size ?? 0) >= MAX_WAITING) {
      this.giveUp(job, GiveUpReason.Overload);
    } else {
      const left = request.arrivedAt + request.serviceClass.deadline - this.clock.now();
      this.clock.setTimer(left, () => this.expire(job));
      this.enqueue(job);
    }
  }

  private enqueue(job: BaselineJob): void {
    const { service } = job.request;
    const queue =
      this.queues.get(service) ??
      new Heap<BaselineJob>(
        (left, right) => left.rank - right.rank || left.sequence - right.sequence,
      );
    this.queues.set(service, queue);
    queue.push(job);
  }

  private pump(service: string): void {
    const queue = this.queues.get(service)!;
    for (let job = queue.peek(); job !== undefined; job = queue.peek()) {
      const open = this.getOpen(service);
      if (open.length === 0) {
        return;
      }
      const { failed } = job;
      const fresh = open.filter(({ replica }) => !failed.has(replica.id));
      queue.remove(job);
      this.dispatch(job, this.rules.choose(fresh.length > 0 ? fresh : open).replica);
    }
  }

  private dispatch(job: BaselineJob, replica: Replica): void {
    const { serviceClass, id, arrivedAt: arrived } = job.request;
    job.start(replica.id);
    this.changeOutstanding(replica.id, 1);
    this.tasks.emit({
      kind: 'dispatch',
      id,
      attempt: job.attempt,
      replica,
      resumeAt: job.resumeAt,
      firstTokenTimeout: Math.max(1, arrived + serviceClass.deadline - this.clock.now()),
      tokenGapTimeout: TOKEN_GAP_TIMEOUT,
      priority: this.rules.getPriority(serviceClass),
      reason: this.rules.name,
    });
  }

  private attemptEnded(job: BaselineJob | undefined, end: AttemptStatus): void {
    if (job === undefined) {
      return;
    }
    this.changeOutstanding(job.replica!, -1);
    job.end(end);
    if (end === AttemptStatus.Completed) {
      this.jobs.delete(job.request.id);
      this.tasks.emit({ kind: 'done', id: job.request.id });
    } else if (end === AttemptStatus.Errored) {
      this.giveUp(job, GiveUpReason.ReplicaFailed, ExecutionOutcome.Failed);
    } else if (!job.canGoOn) {
      this.giveUp(job, GiveUpReason.MayHaveRun);
    } else if (job.attempt >= MAX_ATTEMPTS) {
      this.giveUp(job, GiveUpReason.RetriesSpent);
    } else {
      this.enqueue(job);
    }
  }

  /** The deadline has come: without any of its answer by now, the request is given up. */
  private expire(job: BaselineJob): void {
    if (this.jobs.get(job.request.id) !== job || job.hasBegun) {
      return;
    }
    if (job.replica === undefined) {
      this.queues.get(job.request.service)?.remove(job);
    } else {
      this.cancel(job, CancelReason.Silent);
      job.end(AttemptStatus.Cancelled);
    }
    this.giveUp(job, GiveUpReason.Deadline);
    this.pump(job.request.service);
  }

  private callerLeft(id: string): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      return;
    }
    this.jobs.delete(id);
    if (job.replica === undefined) {
      this.queues.get(job.request.service)?.remove(job);
    } else {
      this.cancel(job, CancelReason.CallerLeft);
    }
  }

  private cancel({ request, attempt, replica }: BaselineJob, reason: CancelReason): void {
    this.changeOutstanding(replica!, -1);
    this.tasks.emit({ kind: 'cancel', id: request.id, attempt, replica: replica!, reason });
  }

  private giveUp(job: BaselineJob, reason: GiveUpReason, outcome = job.outcome): void {
    this.jobs.delete(job.request.id);
    this.tasks.emit({
      kind: 'give-up',
      id: job.request.id,
      outcome,
      reason,
      retryAfter: RETRY_AFTER,
    });
  }

  private getRunning({ id, attempt }: { id: string; attempt: number }): BaselineJob | undefined {
    const job = this.jobs.get(id);
    return job?.attempt === attempt && job.replica !== undefined ? job : undefined;
  }

  private getOpen(service: string): BaselineReplica[] {
    return this.replicas
      .filter((replica) => replica.service === service && !this.leaving.has(replica.id))
      .map((replica) => ({ replica, outstanding: this.outstanding.get(replica.id) ?? 0 }))
      .filter(({ replica, outstanding }) => outstanding < replica.slots);
  }

  private changeOutstanding(replica: string, change: 1 | -1): void {
    this.outstanding.set(replica, (this.outstanding.get(replica) ?? 0) + change);
  }
}
