import type { SchedulerEffect, SchedulerMessage } from '@apricotrill/policy';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { RequestTask } from './RequestTask.js';

/**
 * What the scheduler must offer: the policy, or a stand-in of it in a test.
 *
 * @internal
 */
export interface SchedulerPort {
  handle(message: SchedulerMessage): void;
}

type Submit = Extract<SchedulerMessage, { kind: 'submit' }>;

/**
 * Stands between the scheduler and the requests it decides on: it owns the table of running
 * requests and writes a log line for each decision.
 *
 * @internal
 */
export class SchedulingTask {
  private readonly tasks = new Map<string, RequestTask>();

  private readonly log: DecisionLog;

  private scheduler: SchedulerPort | undefined;

  private onIdle: (() => void)[] = [];

  constructor(log: DecisionLog) {
    this.log = log;
  }

  /** Joins the scheduler, whose effects go to {@link SchedulingTask.perform}. */
  attach(scheduler: SchedulerPort): void {
    this.scheduler = scheduler;
  }

  /** Hands a request to the scheduler. */
  submit(task: RequestTask, message: Submit): void {
    this.tasks.set(message.request.id, task);
    this.tell(message);
  }

  /** Tells the scheduler what happened. */
  tell(message: SchedulerMessage): void {
    this.scheduler?.handle(message);
  }

  /** Does what the scheduler wants done. */
  perform(effect: SchedulerEffect): void {
    this.writeDecision(effect);
    this.tasks.get(effect.id)?.handle(effect);
  }

  /** A request is over for its caller. */
  forget(id: string): void {
    this.tasks.delete(id);
    if (this.tasks.size === 0) {
      this.onIdle.forEach((resolve) => resolve());
      this.onIdle = [];
    }
  }

  /** How many requests are waiting or running. */
  getSize(): number {
    return this.tasks.size;
  }

  /** Resolves once no request is waiting or running. */
  waitUntilIdle(): Promise<void> {
    if (this.tasks.size === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.onIdle.push(resolve);
    });
  }

  private writeDecision(effect: SchedulerEffect): void {
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
