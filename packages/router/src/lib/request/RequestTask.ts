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
import { ProgressReporter } from './ProgressReporter/ProgressReporter.js';
import type { RequestExecution } from './RequestExecution.js';

type DispatchEffect = Extract<SchedulerEffect, { kind: 'dispatch' }>;
type GiveUpEffect = Extract<SchedulerEffect, { kind: 'give-up' }>;

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
 * Settings of a {@link RequestTask}.
 *
 * @internal
 */
export interface RequestTaskSettings {
  request: ScheduledRequest;
  execution: RequestExecution;
  clock: Clock;
  notifyScheduler: (message: SchedulerMessage) => void;
  onLoad: LoadListener;
  /** A connection to the replica timed out without an error. */
  onSilentConnection: (replica: Replica, dispatcher: Dispatcher) => void;
  onReplicaLeaving: (replica: string) => void;
  onSettled: (settlement: Settlement) => void;
  onFirstProgress: () => void;
  log: DecisionLog;
}

/**
 * Runs one request. It owns the running attempt, carries out the scheduler's effects, and reports
 * progress and results back to the scheduler as messages.
 *
 * @internal
 */
export class RequestTask {
  private readonly settings: RequestTaskSettings;

  private runningAttempt: { number: number; controller: AbortController } | undefined;

  private lastResult: AttemptResult | undefined;

  private isSettled = false;

  private hasProgressed = false;

  constructor(settings: RequestTaskSettings) {
    this.settings = settings;
  }

  /** Carries out an effect of the scheduler. */
  handle(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'dispatch':
        this.startAttempt(effect);
        return;
      case 'cancel':
        this.cancelAttempt(effect.attempt);
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

  /** The caller disconnected: aborts the running attempt, whose work would be wasted. */
  handleCallerLeft(): void {
    if (this.isSettled) {
      return;
    }
    this.settle({ kind: 'caller-left' });
    this.settings.notifyScheduler({ kind: 'caller-left', id: this.settings.request.id });
    this.runningAttempt?.controller.abort();
  }

  private startAttempt(effect: DispatchEffect): void {
    const controller = new AbortController();
    this.runningAttempt = { number: effect.attempt, controller };
    const reporter = new ProgressReporter(this.settings.clock, (tokens) =>
      this.reportProgress(effect.attempt, tokens),
    );
    const dispatched = {
      number: effect.attempt,
      replica: effect.replica,
      resumeAt: effect.resumeAt,
      firstTokenTimeout: effect.firstTokenTimeout,
      tokenGapTimeout: effect.tokenGapTimeout,
      priority: effect.priority,
      signal: controller.signal,
      onProgress: (tokens: number) => reporter.add(tokens),
      onLoad: this.settings.onLoad,
    };
    this.settings.execution
      .run(dispatched)
      .catch((error: unknown) => ({ end: AttemptStatus.Broken, detail: String(error) }))
      .then((result) => {
        reporter.end();
        this.handleAttemptEnd(effect, result);
      });
  }

  private reportProgress(attempt: number, tokens: number): void {
    if (!this.hasProgressed) {
      this.hasProgressed = true;
      this.settings.onFirstProgress();
    }
    this.settings.notifyScheduler({
      kind: 'progress',
      id: this.settings.request.id,
      attempt,
      tokens,
    });
  }

  private cancelAttempt(attempt: number): void {
    if (this.runningAttempt?.number === attempt) {
      this.runningAttempt.controller.abort();
    }
  }

  private handleAttemptEnd(effect: DispatchEffect, result: AttemptResult): void {
    const { request, log, notifyScheduler } = this.settings;
    if (this.runningAttempt?.number === effect.attempt) {
      this.runningAttempt = undefined;
    }
    this.lastResult = result;
    log('relay', {
      request: request.id,
      attempt: effect.attempt,
      replica: effect.replica.id,
      end: result.end,
      delivered: this.settings.execution.getDeliveredTokens(),
      detail: result.detail,
    });
    if (result.silentDispatcher !== undefined) {
      this.settings.onSilentConnection(effect.replica, result.silentDispatcher);
    }
    if (result.leaving === true) {
      this.settings.onReplicaLeaving(effect.replica.id);
    }
    notifyScheduler({
      kind: 'attempt-ended',
      id: request.id,
      attempt: effect.attempt,
      end: result.end,
      retryAfter: result.retryAfter,
    });
  }

  private complete(): void {
    if (!this.isSettled) {
      this.settings.execution.complete();
      this.settle({ kind: 'answered' });
    }
  }

  private giveUp(effect: GiveUpEffect): void {
    if (!this.isSettled) {
      const problem = getGiveUpProblem(effect, this.lastResult);
      this.settings.execution.fail(problem);
      this.settle({ kind: 'given-up', outcome: effect.outcome, problem });
      // The result of an attempt that is still running could not be delivered.
      this.runningAttempt?.controller.abort();
    }
  }

  private settle(settlement: Settlement): void {
    this.isSettled = true;
    this.settings.onSettled(settlement);
  }
}
