import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, CancelReason, GiveUpReason, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest, SchedulerMessage } from '../messages.js';
import type { SchedulerSettings } from '../Scheduler/Scheduler.js';
import { TaskQueue } from '../Scheduler/TaskQueue.js';
import { Heap } from '../structures/Heap.js';
import { BaselineJob } from './BaselineJob.js';
import type { BaselineReplica, BaselineStrategy } from './BaselineStrategy.js';

/** Maximum number of attempts of a request. */
const MAX_ATTEMPTS = 3;

/** Maximum number of waiting requests of one service. */
const MAX_WAITING_PER_SERVICE = 4096;

const RETRY_AFTER_MS: Milliseconds = 1000;

/** Timeout for the next token. It is long because baselines do not monitor token gaps. */
const TOKEN_GAP_TIMEOUT_MS: Milliseconds = 10_000;

/**
 * A simple scheduler for comparison: one queue per service, at most as many requests at a replica
 * as it has slots, and up to three attempts. It has no floors, shares, retry budgets, load reports
 * or preemption, and it refuses requests only when their deadline has passed. It keeps the
 * guarantees on complete responses and on requests that may not be repeated, as the comparison
 * would otherwise favor the baseline.
 *
 * @internal
 */
export class Baseline {
  private readonly clock: Clock;

  private readonly tasks: TaskQueue;

  private readonly strategy: BaselineStrategy;

  private readonly jobs = new Map<string, BaselineJob>();

  private readonly queues = new Map<string, Heap<BaselineJob>>();

  private readonly leaving = new Set<string>();

  private readonly outstanding = new Map<string, number>();

  private replicas: Replica[] = [];

  private sequence = 0;

  private isDraining = false;

  constructor({ clock, emit }: SchedulerSettings, strategy: BaselineStrategy) {
    this.tasks = new TaskQueue(clock, emit);
    this.clock = this.tasks.clock;
    this.strategy = strategy;
  }

  /** Handles a message. Load reports, silent paths and changes of daemons are ignored. */
  handle(message: SchedulerMessage): void {
    this.tasks.run(() => this.handleMessage(message));
  }

  /** Discards all requests. */
  dispose(): void {
    this.jobs.clear();
    this.queues.clear();
  }

  private handleMessage(message: SchedulerMessage): void {
    if (message.kind === 'submit') {
      this.handleSubmit(message.request);
    } else if (message.kind === 'caller-left') {
      this.handleCallerLeft(message.id);
    } else if (message.kind === 'progress') {
      this.getRunningJob(message)?.recordProgress(message.tokens);
    } else if (message.kind === 'attempt-ended') {
      this.handleAttemptEnded(this.getRunningJob(message), message.end);
    } else if (message.kind === 'replicas') {
      this.replicas = message.replicas;
    } else if (message.kind === 'replica-leaving') {
      this.leaving.add(message.replica);
    } else if (message.kind === 'replica-returned') {
      this.leaving.delete(message.replica);
    } else if (message.kind === 'drain') {
      this.isDraining = true;
    }
    [...this.queues.keys()].forEach((service) => this.dispatchWaiting(service));
  }

  private handleSubmit(request: ScheduledRequest): void {
    this.sequence += 1;
    const rank = this.strategy.getRank(request.serviceClass);
    const job = new BaselineJob(request, rank, this.sequence);
    this.jobs.set(request.id, job);
    if (this.isDraining) {
      this.giveUp(job, GiveUpReason.Draining);
    } else if ((this.queues.get(request.service)?.size ?? 0) >= MAX_WAITING_PER_SERVICE) {
      this.giveUp(job, GiveUpReason.Overload);
    } else {
      const left = request.arrivedAt + request.serviceClass.deadline - this.clock.now();
      this.clock.setTimer(left, () => this.handleDeadline(job));
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

  private dispatchWaiting(service: string): void {
    const queue = this.queues.get(service)!;
    for (let job = queue.peek(); job !== undefined; job = queue.peek()) {
      const available = this.getAvailable(service);
      if (available.length === 0) {
        return;
      }
      const { failedReplicas } = job;
      const untried = available.filter(({ replica }) => !failedReplicas.has(replica.id));
      queue.remove(job);
      this.dispatch(job, this.strategy.choose(untried.length > 0 ? untried : available).replica);
    }
  }

  private dispatch(job: BaselineJob, replica: Replica): void {
    const { serviceClass, id, arrivedAt } = job.request;
    job.startAttempt(replica.id);
    this.changeOutstanding(replica.id, 1);
    this.tasks.emit({
      kind: 'dispatch',
      id,
      attempt: job.attempt,
      replica,
      resumeAt: job.resumeAt,
      firstTokenTimeout: Math.max(1, arrivedAt + serviceClass.deadline - this.clock.now()),
      tokenGapTimeout: TOKEN_GAP_TIMEOUT_MS,
      priority: this.strategy.getPriority(serviceClass),
      reason: this.strategy.name,
    });
  }

  private handleAttemptEnded(job: BaselineJob | undefined, status: AttemptStatus): void {
    if (job === undefined) {
      return;
    }
    this.changeOutstanding(job.replica!, -1);
    job.endAttempt(status);
    if (status === AttemptStatus.Completed) {
      this.jobs.delete(job.request.id);
      this.tasks.emit({ kind: 'done', id: job.request.id });
    } else if (status === AttemptStatus.Errored) {
      this.giveUp(job, GiveUpReason.ReplicaFailed, ExecutionOutcome.Failed);
    } else if (!job.canRetry) {
      this.giveUp(job, GiveUpReason.MayHaveRun);
    } else if (job.attempt >= MAX_ATTEMPTS) {
      this.giveUp(job, GiveUpReason.RetriesSpent);
    } else {
      this.enqueue(job);
    }
  }

  /** Gives a request up if its response has not started by the deadline. */
  private handleDeadline(job: BaselineJob): void {
    if (this.jobs.get(job.request.id) !== job || job.hasStarted) {
      return;
    }
    if (job.replica === undefined) {
      this.queues.get(job.request.service)?.remove(job);
    } else {
      this.cancel(job, CancelReason.Silent);
      job.endAttempt(AttemptStatus.Cancelled);
    }
    this.giveUp(job, GiveUpReason.Deadline);
    this.dispatchWaiting(job.request.service);
  }

  private handleCallerLeft(id: string): void {
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
      retryAfter: RETRY_AFTER_MS,
    });
  }

  private getRunningJob({ id, attempt }: { id: string; attempt: number }): BaselineJob | undefined {
    const job = this.jobs.get(id);
    return job?.attempt === attempt && job.replica !== undefined ? job : undefined;
  }

  private getAvailable(service: string): BaselineReplica[] {
    return this.replicas
      .filter((replica) => replica.service === service && !this.leaving.has(replica.id))
      .map((replica) => ({ replica, outstanding: this.outstanding.get(replica.id) ?? 0 }))
      .filter(({ replica, outstanding }) => outstanding < replica.slots);
  }

  private changeOutstanding(replica: string, change: 1 | -1): void {
    this.outstanding.set(replica, (this.outstanding.get(replica) ?? 0) + change);
  }
}
