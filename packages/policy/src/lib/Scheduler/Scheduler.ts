import type { Replica } from '@apricotrill/model';
import type { Clock, Random } from '@apricotrill/utils';
import PQueue from 'p-queue';
import { AttemptEnd, CancelReason, GiveUpReason, Outcome } from '../messages.js';
import type { ScheduledRequest, SchedulerEffect, SchedulerMessage } from '../messages.js';
import { defaultPolicyOptions } from '../policyOptions.js';
import type { PolicyOptions } from '../policyOptions.js';

interface Entry {
  request: ScheduledRequest;
  attempt: number;
  replica: Replica | undefined;
  delivered: number;
  mayHaveRun: boolean;
  waiting: boolean;
}

/**
 * What a scheduler is made of.
 *
 * @public
 */
export interface SchedulerParts {
  clock: Clock;
  random: Random;
  options?: Partial<PolicyOptions>;
  emit: (effect: SchedulerEffect) => void;
}

/**
 * Decides which request runs where and when.
 *
 * @public
 */
export class Scheduler {
  private readonly parts: SchedulerParts;

  private readonly options: PolicyOptions;

  private readonly entries = new Map<string, Entry>();

  private readonly queues = new Map<string, PQueue>();

  private readonly leaving = new Set<string>();

  private readonly running = new Map<string, number>();

  private replicas: Replica[] = [];

  private draining = false;

  constructor(parts: SchedulerParts) {
    this.parts = parts;
    this.options = { ...defaultPolicyOptions, ...parts.options };
  }

  handle(message: SchedulerMessage): void {
    switch (message.kind) {
      case 'submit':
        this.submit(message.request);
        break;
      case 'caller-left':
        this.callerLeft(message.id);
        break;
      case 'progress': {
        const entry = this.entries.get(message.id);
        if (entry?.attempt === message.attempt) {
          entry.delivered += message.tokens;
        }
        break;
      }
      case 'attempt-ended':
        this.attemptEnded(message);
        break;
      case 'replicas':
        this.replicas = message.replicas;
        break;
      case 'replica-leaving':
        this.leaving.add(message.replica);
        break;
      case 'replica-returned':
        this.leaving.delete(message.replica);
        break;
      case 'drain':
        this.draining = true;
        break;
      default:
        break;
    }
    this.pump();
  }

  getSnapshot(): { waiting: number; running: number } {
    const entries = [...this.entries.values()];
    const waiting = entries.filter((entry) => entry.waiting).length;
    return { waiting, running: entries.length - waiting };
  }

  dispose(): void {
    this.queues.forEach((queue) => queue.clear());
    this.entries.clear();
  }

  private submit(request: ScheduledRequest): void {
    if (this.draining || this.getLive(request.service).length === 0) {
      const reason = this.draining ? GiveUpReason.Draining : GiveUpReason.NoReplica;
      this.giveUp(request.id, Outcome.NotRun, reason);
      return;
    }
    const entry = {
      request,
      attempt: 0,
      replica: undefined,
      delivered: 0,
      mayHaveRun: false,
      waiting: false,
    };
    this.entries.set(request.id, entry);
    this.enqueue(entry);
  }

  private enqueue(entry: Entry): void {
    const { service, serviceClass } = entry.request;
    const queue = this.queues.get(service) ?? new PQueue({ autoStart: false });
    this.queues.set(service, queue);
    Object.assign(entry, { waiting: true });
    queue.add(async () => this.dispatch(entry), { priority: -serviceClass.tier });
  }

  private dispatch(entry: Entry): void {
    const { request } = entry;
    if (this.entries.get(request.id) !== entry) {
      return;
    }
    const live = this.getOpen(request.service);
    const replica = live.reduce((best, next) =>
      this.getRunning(next) / next.slots < this.getRunning(best) / best.slots ? next : best,
    );
    const attempt = entry.attempt + 1;
    Object.assign(entry, { waiting: false, replica, attempt });
    this.running.set(replica.id, this.getRunning(replica) + 1);
    const { target, deadline } = request.serviceClass;
    this.parts.emit({
      kind: 'dispatch',
      id: request.id,
      attempt,
      replica,
      resumeAt: request.resumable ? entry.delivered : 0,
      firstTokenTimeout: deadline,
      tokenGapTimeout: Math.max(2000, 40 * target.tokenGap),
      reason: 'least-running',
    });
  }

  private attemptEnded(message: Extract<SchedulerMessage, { kind: 'attempt-ended' }>): void {
    const entry = this.entries.get(message.id);
    if (entry?.replica === undefined || entry.attempt !== message.attempt) {
      return;
    }
    this.release(entry);
    if (message.end === AttemptEnd.Completed) {
      this.entries.delete(message.id);
      this.parts.emit({ kind: 'done', id: message.id });
      return;
    }
    if (message.end !== AttemptEnd.NotSent && message.end !== AttemptEnd.Refused) {
      entry.mayHaveRun = true;
    }
    this.retry(entry, message.end);
  }

  private retry(entry: Entry, end: AttemptEnd): void {
    const { repeatable } = entry.request.serviceClass;
    const { id, resumable } = entry.request;
    if (end === AttemptEnd.Errored) {
      this.giveUp(id, Outcome.Failed, GiveUpReason.ReplicaFailed);
    } else if (entry.mayHaveRun && !repeatable) {
      this.giveUp(id, Outcome.Unknown, GiveUpReason.MayHaveRun);
    } else if (entry.attempt >= this.options.maxAttempts || (entry.delivered > 0 && !resumable)) {
      const outcome = entry.mayHaveRun ? Outcome.Failed : Outcome.NotRun;
      this.giveUp(id, outcome, GiveUpReason.RetriesSpent);
    } else {
      this.enqueue(entry);
    }
  }

  private callerLeft(id: string): void {
    const entry = this.entries.get(id);
    if (entry === undefined) {
      return;
    }
    this.entries.delete(id);
    if (entry.replica !== undefined) {
      const { replica, attempt } = entry;
      this.release(entry);
      const reason = CancelReason.CallerLeft;
      this.parts.emit({ kind: 'cancel', id, attempt, replica: replica.id, reason });
    }
  }

  private giveUp(id: string, outcome: Outcome, reason: GiveUpReason): void {
    this.entries.delete(id);
    const retryAfter = this.options.minRetryAfter;
    this.parts.emit({ kind: 'give-up', id, outcome, reason, retryAfter });
  }

  private release(entry: Entry): void {
    this.running.set(entry.replica!.id, this.getRunning(entry.replica!) - 1);
    Object.assign(entry, { replica: undefined });
  }

  private pump(): void {
    [...this.queues.keys()].forEach((service) => this.pumpService(service));
  }

  private pumpService(service: string): void {
    const queue = this.queues.get(service)!;
    while (queue.size > 0 && this.getOpen(service).length > 0) {
      queue.concurrency = queue.pending + 1;
      queue.start();
      queue.pause();
    }
  }

  private getRunning({ id }: Replica): number {
    return this.running.get(id) ?? 0;
  }

  private getLive(service: string): Replica[] {
    return this.replicas.filter(
      (replica) => replica.service === service && !this.leaving.has(replica.id),
    );
  }

  private getOpen(service: string): Replica[] {
    return this.getLive(service).filter((replica) => this.getRunning(replica) < replica.slots);
  }
}
