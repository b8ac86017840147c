import { AttemptStatus, CancelReason } from '@apricotrill/policy';
import type { ScheduledRequest, SchedulerEffect } from '@apricotrill/policy';
import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { Policy, PolicyFactory } from '../policies/Policy.js';
import type { JobOutput, Work } from '../replicas/ReplicaModel.js';
import { Admission } from './Fleet.js';
import type { AttemptOwner, Fleet } from './Fleet.js';

/** When a replica that refuses asks to be tried again. */
const REFUSAL_RETRY_AFTER: Milliseconds = 500;

/** How often a daemon asks each replica for its load. */
const REPORT_INTERVAL: Milliseconds = 1000;

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;
type GiveUp = Extract<SchedulerEffect, { kind: 'give-up' }>;

/** What the caller's side of a daemon hears. */
export interface SubmissionListener {
  onTokens(id: string, units: number): void;
  /** @param resumeAt - how many tokens the new attempt takes as delivered */
  onDispatch(id: string, resumeAt: number): void;
  onDone(id: string): void;
  onGiveUp(effect: GiveUp): void;
}

interface Attempt {
  id: string;
  number: number;
  replica: string;
  /** Set when the connection it runs on delivers nothing any more. */
  silent: boolean;
  answered: boolean;
  priority: number;
  tokenGapTimeout: Milliseconds;
  /** When the silence on its connection has lasted too long. */
  silentAt: Milliseconds;
}

interface Submission {
  request: ScheduledRequest;
  work: Work;
  /** The attempt whose output is relayed; output of earlier ones is dropped. */
  current?: string;
}

/**
 * A router daemon without sockets: its scheduler, and the tasks that would hold the connections.
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
   * Replicas whose pooled connections went silent. A new connection works: the daemon opens one
   * for what may not be repeated, and once an attempt on an old one timed out.
   */
  private readonly silentPaths = new Set<string>();

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

  leave(id: string): void {
    this.submissions.delete(id);
    this.policy.handle({ kind: 'caller-left', id });
  }

  /** From now on nothing passes on the connections that exist; attempts on them stay unaware. */
  silencePath(replica: string): void {
    this.silentPaths.add(replica);
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

  onBroken(key: string): void {
    if (this.attempts.get(key)?.silent === false) {
      this.endAttempt(key, AttemptStatus.Broken);
    }
  }

  private relay(attempt: Attempt, output: JobOutput): void {
    if (!attempt.answered) {
      Object.assign(attempt, { answered: true });
      this.reportLoad(attempt.replica);
    }
    Object.assign(attempt, { silentAt: this.context.clock.now() + attempt.tokenGapTimeout });
    if (output.units > 0) {
      this.progress(attempt, output);
    }
    if (output.finished) {
      this.endAttempt(output.key, AttemptStatus.Completed);
    }
  }

  private progress({ id, number }: Attempt, { key, units }: JobOutput): void {
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
    const silent = repeatable && this.silentPaths.has(replica.id);
    submission.current = key;
    const attempt: Attempt = {
      id,
      number,
      replica: replica.id,
      silent,
      answered: false,
      priority: effect.priority ?? tier,
      tokenGapTimeout,
      silentAt: clock.now() + firstTokenTimeout,
    };
    this.attempts.set(key, attempt);
    this.watch(key, attempt);
    listener.onDispatch(id, resumeAt);
    if (!silent) {
      clock.setTimer(networkDelay, () => this.send(key, submission, resumeAt));
    }
  }

  /** Bounds the silence on an attempt's connection, as the daemon's sockets do. */
  private watch(key: string, attempt: Attempt): void {
    const { clock } = this.context;
    clock.setTimer(attempt.silentAt - clock.now(), () => {
      if (this.attempts.get(key) !== attempt) {
        return;
      }
      if (clock.now() < attempt.silentAt) {
        this.watch(key, attempt);
        return;
      }
      this.endSilent(key, attempt);
    });
  }

  /** The connection is given up, and its pool with it: the next one is new. */
  private endSilent(key: string, { replica, silent }: Attempt): void {
    this.silentPaths.delete(replica);
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
    const admission = this.context.fleet.submit(
      attempt.replica,
      {
        key,
        priority: attempt.priority,
        work: work.kind === 'chat' ? { ...work, resumeAt } : work,
      },
      this,
    );
    if (admission === Admission.Accepted) {
      return;
    }
    const end = admission === Admission.Refused ? AttemptStatus.Refused : AttemptStatus.NotSent;
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
    // Not within the scheduler's own turn, as a socket's events would not come either.
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
    if (report !== undefined && !this.silentPaths.has(replica)) {
      this.policy.handle({ kind: 'load-report', report });
    }
  }
}
