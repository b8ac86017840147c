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

  /** Requests that have arrived and are not submitted or refused yet. */
  private arriving = 0;

  private readonly onIdle: (() => void)[] = [];

  constructor(log: DecisionLog) {
    this.log = log;
  }

  /** Joins the scheduler, whose effects go to {@link SchedulingTask.perform}. */
  attach(scheduler: SchedulerPort): void {
    this.scheduler = scheduler;
  }

  /**
   * A request has begun to arrive. Without the count, a shutdown would pass over a caller that is
   * still sending its request, and refuse it.
   *
   * @returns to be called when the request has been submitted or refused
   */
  enter(): () => void {
    this.arriving += 1;
    return () => {
      this.arriving -= 1;
      this.noteIdle();
    };
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
    this.noteIdle();
  }

  /** How many requests are arriving, waiting or running. */
  getSize(): number {
    return this.tasks.size + this.arriving;
  }

  /** Resolves once no request is arriving, waiting or running. */
  waitUntilIdle(): Promise<void> {
    if (this.getSize() === 0) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.onIdle.push(resolve);
    });
  }

  private noteIdle(): void {
    if (this.getSize() === 0) {
      this.onIdle.splice(0).forEach((resolve) => resolve());
    }
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
