import { AttemptStatus, CancelReason } from '@apricotrill/policy';
import type { ScheduledRequest, SchedulerEffect } from '@apricotrill/policy';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { Policy, PolicyFactory } from '../policies/Policy.js';
import type { JobOutput, Work } from '../replicas/ReplicaModel.js';
import { SubmitResult } from './Fleet.js';
import type { AttemptOwner, Fleet } from './Fleet.js';

/** The retry-after time of a replica that refuses a job. */
const REFUSAL_RETRY_AFTER: Milliseconds = 500;

/** Interval at which a daemon polls the load reports of all replicas. */
const REPORT_INTERVAL: Milliseconds = 1000;

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;
type GiveUp = Extract<SchedulerEffect, { kind: 'give-up' }>;

/** Notified of the progress and the end of submissions, on the caller side of a daemon. */
export interface SubmissionListener {
  onTokens(id: string, units: number): void;
  /** @param resumeAt - number of tokens that the new attempt assumes to be delivered already */
  onDispatch(id: string, resumeAt: number): void;
  onDone(id: string): void;
  onGiveUp(effect: GiveUp): void;
}

interface Attempt {
  id: string;
  number: number;
  replica: string;
  /** Whether the connection of the attempt has silently stopped delivering. */
  silent: boolean;
  answered: boolean;
  priority: number;
  tokenGapTimeout: Milliseconds;
  /** Time at which the attempt times out unless output arrives before. */
  timeoutAt: Milliseconds;
}

interface Submission {
  request: ScheduledRequest;
  work: Work;
  /** Key of the attempt whose output is relayed; output of earlier attempts is dropped. */
  current?: string;
}

/**
 * A model of a daemon without sockets: its scheduler, and simulated connections to the replicas.
 *
 * @example
 * ```ts
 * const daemon = new DaemonModel({ clock, random, fleet, networkDelay, factory, listener });
 * daemon.submit(request, work);
 * ```
 * @internal
 */
export class DaemonModel implements AttemptOwner {
  readonly policy: Policy;

  private readonly submissions = new Map<string, Submission>();

  private readonly attempts = new Map<string, Attempt>();

  /**
   * Replicas whose pooled connections have stopped delivering. New connections work: the daemon
   * opens one for each request that is not repeatable, and after an attempt on a pooled connection
   * has timed out.
   */
  private readonly silentReplicas = new Set<string>();

  constructor(
    private readonly context: {
      clock: Clock;
      random: Random;
      fleet: Fleet;
      networkDelay: Milliseconds;
      factory: PolicyFactory;
      listener: SubmissionListener;
    },
  ) {
    const { clock, random, factory } = context;
    this.policy = factory({ clock, random, emit: (effect) => this.handleEffect(effect) });
    clock.setTimer(random.next() * REPORT_INTERVAL, () => this.pollReports());
  }

  submit(request: ScheduledRequest, work: Work): void {
    this.submissions.set(request.id, { request, work });
    this.policy.handle({ kind: 'submit', request });
  }

  handleCallerLeft(id: string): void {
    this.submissions.delete(id);
    this.policy.handle({ kind: 'caller-left', id });
  }

  /** Makes the existing connections to a replica stop delivering, without an error to attempts. */
  silenceConnections(replica: string): void {
    this.silentReplicas.add(replica);
    this.attempts.forEach((attempt) => {
      if (attempt.replica === replica) {
        Object.assign(attempt, { silent: true });
      }
    });
  }

  onOutputs(outputs: JobOutput[]): void {
    outputs.forEach((output) => {
      const attempt = this.attempts.get(output.key);
      if (attempt !== undefined && !attempt.silent) {
        this.relay(attempt, output);
      }
    });
  }

  onConnectionLost(key: string): void {
    if (this.attempts.get(key)?.silent === false) {
      this.endAttempt(key, AttemptStatus.Broken);
    }
  }

  private relay(attempt: Attempt, output: JobOutput): void {
    if (!attempt.answered) {
      Object.assign(attempt, { answered: true });
      this.reportLoad(attempt.replica);
    }
    Object.assign(attempt, { timeoutAt: this.context.clock.now() + attempt.tokenGapTimeout });
    if (output.units > 0) {
      this.reportProgress(attempt, output);
    }
    if (output.finished) {
      this.endAttempt(output.key, AttemptStatus.Completed);
    }
  }

  private reportProgress({ id, number }: Attempt, { key, units }: JobOutput): void {
    if (this.submissions.get(id)?.current === key) {
      this.context.listener.onTokens(id, units);
    }
    this.policy.handle({ kind: 'progress', id, attempt: number, tokens: units });
  }

  private handleEffect(effect: SchedulerEffect): void {
    switch (effect.kind) {
      case 'dispatch':
        this.dispatch(effect);
        return;
      case 'cancel':
        this.cancel(effect);
        return;
      case 'give-up':
        this.submissions.delete(effect.id);
        this.context.listener.onGiveUp(effect);
        return;
      case 'done':
        this.submissions.delete(effect.id);
        this.context.listener.onDone(effect.id);
        return;
      default:
        throw exhaustiveSwitchError(effect);
    }
  }

  private dispatch(effect: Dispatch): void {
    const { id, attempt: number, replica, resumeAt, firstTokenTimeout, tokenGapTimeout } = effect;
    const submission = this.submissions.get(id);
    if (submission === undefined) {
      return;
    }
    const { clock, networkDelay, listener } = this.context;
    const { tier, repeatable } = submission.request.serviceClass;
    const key = `${id}/${number}`;
    const silent = repeatable && this.silentReplicas.has(replica.id);
    submission.current = key;
    const attempt: Attempt = {
      id,
      number,
      replica: replica.id,
      silent,
      answered: false,
      priority: effect.priority ?? tier,
      tokenGapTimeout,
      timeoutAt: clock.now() + firstTokenTimeout,
    };
    this.attempts.set(key, attempt);
    this.watchForTimeout(key, attempt);
    listener.onDispatch(id, resumeAt);
    if (!silent) {
      clock.setTimer(networkDelay, () => this.send(key, submission, resumeAt));
    }
  }

  /** Times an attempt out when its connection delivers nothing, as the daemon's sockets do. */
  private watchForTimeout(key: string, attempt: Attempt): void {
    const { clock } = this.context;
    clock.setTimer(attempt.timeoutAt - clock.now(), () => {
      if (this.attempts.get(key) !== attempt) {
        return;
      }
      if (clock.now() < attempt.timeoutAt) {
        this.watchForTimeout(key, attempt);
        return;
      }
      this.handleTimeout(key, attempt);
    });
  }

  /** Ends an attempt and discards the connection pool of its replica, so that the next is new. */
  private handleTimeout(key: string, { replica, silent }: Attempt): void {
    this.silentReplicas.delete(replica);
    if (!silent) {
      this.context.fleet.cancel(replica, key);
    }
    this.endAttempt(key, AttemptStatus.Broken);
    this.policy.handle({ kind: 'path-silent', replica });
  }

  private send(key: string, { work }: Submission, resumeAt: number): void {
    const attempt = this.attempts.get(key);
    if (attempt === undefined) {
      return;
    }
    const result = this.context.fleet.submit(
      attempt.replica,
      {
        key,
        priority: attempt.priority,
        work: work.kind === 'chat' ? { ...work, resumeAt } : work,
      },
      this,
    );
    if (result === SubmitResult.Accepted) {
      return;
    }
    const end = result === SubmitResult.Refused ? AttemptStatus.Refused : AttemptStatus.NotSent;
    this.context.clock.setTimer(this.context.networkDelay, () => this.endAttempt(key, end));
  }

  private cancel(effect: Extract<SchedulerEffect, { kind: 'cancel' }>): void {
    const { clock, fleet, networkDelay } = this.context;
    const { id, attempt: number, replica, reason } = effect;
    const key = `${id}/${number}`;
    const attempt = this.attempts.get(key);
    this.attempts.delete(key);
    if (attempt?.silent === false) {
      clock.setTimer(networkDelay, () => fleet.cancel(replica, key));
    }
    if (reason === CancelReason.CallerLeft) {
      return;
    }
    // Deferred, because socket events do not arrive while the scheduler is handling a message.
    const end = AttemptStatus.Cancelled;
    clock.setTimer(0, () =>
      this.policy.handle({ kind: 'attempt-ended', id, attempt: number, end }),
    );
  }

  private endAttempt(key: string, end: AttemptStatus): void {
    const attempt = this.attempts.get(key);
    if (attempt === undefined) {
      return;
    }
    this.attempts.delete(key);
    const retryAfter = end === AttemptStatus.Refused ? REFUSAL_RETRY_AFTER : undefined;
    const { id, number } = attempt;
    this.policy.handle({ kind: 'attempt-ended', id, attempt: number, end, retryAfter });
  }

  private pollReports(): void {
    const { clock, fleet } = this.context;
    fleet.getReplicas().forEach(({ id }) => this.reportLoad(id));
    clock.setTimer(REPORT_INTERVAL, () => this.pollReports());
  }

  private reportLoad(replica: string): void {
    const report = this.context.fleet.getReport(replica);
    if (report !== undefined && !this.silentReplicas.has(replica)) {
      this.policy.handle({ kind: 'load-report', report });
    }
  }
}
