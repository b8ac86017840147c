import type { Replica } from '@apricotrill/model';
import { AttemptStatus } from '@apricotrill/policy';
import type {
  ExecutionOutcome,
  ScheduledRequest,
  SchedulerEffect,
  SchedulerMessage,
} from '@apricotrill/policy';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { Dispatcher } from 'undici';
import type { DecisionLog } from '../observe/DecisionLog.js';
import type { Problem } from '../pipeline/Problem.js';
import type { AttemptResult, LoadListener } from '../upstream/Attempt.js';
import { getGiveUpProblem } from './getGiveUpProblem.js';
import { ProgressReport } from './ProgressReporter/ProgressReporter.js';
import type { RequestWork } from './RequestExecution.js';

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;
type GiveUp = Extract<SchedulerEffect, { kind: 'give-up' }>;

/**
 * How a request ended for its caller.
 *
 * @internal
 */
export type Settlement =
  | { kind: 'answered' }
  | { kind: 'given-up'; outcome: ExecutionOutcome; problem: Problem }
  | { kind: 'caller-left' };

/**
 * What a request task needs of its surroundings.
 *
 * @internal
 */
export interface RequestTaskParts {
  request: ScheduledRequest;
  work: RequestWork;
  clock: Clock;
  tell: (message: SchedulerMessage) => void;
  onLoad: LoadListener;
  /** A connection to the replica went silent. */
  onSilent: (replica: Replica, path: Dispatcher) => void;
  onLeaving: (replica: string) => void;
  onSettled: (settlement: Settlement) => void;
  onFirstProgress: () => void;
  log: DecisionLog;
}

/**
 * One request between its caller and its attempts. It owns the running attempt and does what the
 * scheduler orders; everything it learns goes back to the scheduler as a message.
 *
 * @internal
 */
export class RequestTask {
  private readonly parts: RequestTaskParts;

  private running: { number: number; controller: AbortController } | undefined;

  private last: AttemptResult | undefined;

  private settled = false;

  private progressed = false;

  constructor(parts: RequestTaskParts) {
    this.parts = parts;
  }

  /** Does what the scheduler wants. */
  handle(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'dispatch':
        this.start(effect);
        return;
      case 'cancel':
        this.cancel(effect.attempt);
        return;
      case 'give-up':
        this.giveUp(effect);
        return;
      case 'done':
        this.complete();
        return;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  /** The caller has gone: stop the work upstream at once, it would be wasted. */
  callerLeft(): void {
    if (this.settled) {
      return;
    }
    this.settle({ kind: 'caller-left' });
    this.parts.tell({ kind: 'caller-left', id: this.parts.request.id });
    this.running?.controller.abort();
  }

  private start(effect: Dispatch): void {
    const controller = new AbortController();
    this.running = { number: effect.attempt, controller };
    const report = new ProgressReport(this.parts.clock, (tokens) =>
      this.tellProgress(effect.attempt, tokens),
    );
    const ordered = {
      number: effect.attempt,
      replica: effect.replica,
      resumeAt: effect.resumeAt,
      firstTokenTimeout: effect.firstTokenTimeout,
      tokenGapTimeout: effect.tokenGapTimeout,
      priority: effect.priority,
      signal: controller.signal,
      onProgress: (tokens: number) => report.add(tokens),
      onLoad: this.parts.onLoad,
    };
    this.parts.work
      .run(ordered)
      .catch((error: unknown) => ({ end: AttemptStatus.Broken, detail: String(error) }))
      .then((result) => {
        report.end();
        this.ended(effect, result);
      });
  }

  private tellProgress(attempt: number, tokens: number): void {
    if (!this.progressed) {
      this.progressed = true;
      this.parts.onFirstProgress();
    }
    this.parts.tell({ kind: 'progress', id: this.parts.request.id, attempt, tokens });
  }

  private cancel(attempt: number): void {
    if (this.running?.number === attempt) {
      this.running.controller.abort();
    }
  }

  private ended(effect: Dispatch, result: AttemptResult): void {
    const { request, log, tell } = this.parts;
    if (this.running?.number === effect.attempt) {
      this.running = undefined;
    }
    this.last = result;
    log('relay', {
      request: request.id,
      attempt: effect.attempt,
      replica: effect.replica.id,
      end: result.end,
      delivered: this.parts.work.getDelivered(),
      detail: result.detail,
    });
    if (result.silent !== undefined) {
      this.parts.onSilent(effect.replica, result.silent);
    }
    if (result.leaving === true) {
      this.parts.onLeaving(effect.replica.id);
    }
    tell({
      kind: 'attempt-ended',
      id: request.id,
      attempt: effect.attempt,
      end: result.end,
      retryAfter: result.retryAfter,
    });
  }

  private complete(): void {
    if (!this.settled) {
      this.parts.work.complete();
      this.settle({ kind: 'answered' });
    }
  }

  private giveUp(effect: GiveUp): void {
    if (!this.settled) {
      const problem = getGiveUpProblem(effect, this.last);
      this.parts.work.fail(problem);
      this.settle({ kind: 'given-up', outcome: effect.outcome, problem });
      // An attempt that still runs would compute for nobody.
      this.running?.controller.abort();
    }
  }

  private settle(settlement: Settlement): void {
    this.settled = true;
    this.parts.onSettled(settlement);
  }
}
