import type { SchedulerEffect, SchedulerMessage } from '@apricotrill/policy';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { RequestTask } from './RequestTask.js';

/**
 * The scheduler as {@link SchedulingTask} uses it.
 *
 * @internal
 */
export interface SchedulerPort {
  handle(message: SchedulerMessage): void;
}

type SubmitMessage = Extract<SchedulerMessage, { kind: 'submit' }>;

/**
 * Connects the scheduler to the requests it schedules: keeps the table of running requests, forwards
 * effects to them, and logs each decision.
 *
 * @internal
 */
export class SchedulingTask {
  private readonly tasks = new Map<string, RequestTask>();

  private readonly log: DecisionLog;

  private scheduler: SchedulerPort | undefined;

  /** Requests that have begun to arrive and are not yet submitted or rejected. */
  private arrivingRequests = 0;

  private readonly idleListeners: (() => void)[] = [];

  constructor(log: DecisionLog) {
    this.log = log;
  }

  /** Sets the scheduler, whose effects must be passed to {@link SchedulingTask.perform}. */
  attach(scheduler: SchedulerPort): void {
    this.scheduler = scheduler;
  }

  /**
   * Counts a request that has begun to arrive. Without the count, a shutdown would not wait for
   * callers that are still sending their requests, and would reject them.
   *
   * @returns a function to call when the request has been submitted or rejected
   */
  trackArrival(): () => void {
    this.arrivingRequests += 1;
    return () => {
      this.arrivingRequests -= 1;
      this.notifyIfIdle();
    };
  }

  /** Submits a request to the scheduler. */
  submit(task: RequestTask, message: SubmitMessage): void {
    this.tasks.set(message.request.id, task);
    this.notifyScheduler(message);
  }

  /** Sends a message to the scheduler. */
  notifyScheduler(message: SchedulerMessage): void {
    this.scheduler?.handle(message);
  }

  /** Logs an effect of the scheduler and forwards it to its request. */
  perform(effect: SchedulerEffect): void {
    this.logDecision(effect);
    this.tasks.get(effect.id)?.handle(effect);
  }

  /** Removes a request that has ended for its caller. */
  remove(id: string): void {
    this.tasks.delete(id);
    this.notifyIfIdle();
  }

  /** Returns the number of requests that are arriving, waiting or running. */
  getRequestCount(): number {
    return this.tasks.size + this.arrivingRequests;
  }

  /** Resolves once no request is arriving, waiting or running. */
  waitUntilIdle(): Promise<void> {
    if (this.getRequestCount() === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.idleListeners.push(resolve);
    });
  }

  private notifyIfIdle(): void {
    if (this.getRequestCount() === 0) {
      this.idleListeners.splice(0).forEach((resolve) => resolve());
    }
  }

  private logDecision(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'dispatch':
        this.log('choose', {
          request: effect.id,
          attempt: effect.attempt,
          replica: effect.replica.id,
          resumeAt: effect.resumeAt,
          reason: effect.reason,
        });
        break;
      case 'cancel':
      case 'give-up':
        this.log('admit', { ...effect, kind: effect.kind, request: effect.id });
        break;
      default:
        break;
    }
  }
}
