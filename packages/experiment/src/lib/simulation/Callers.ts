import { ExecutionOutcome } from '@apricotrill/policy';
import type { SchedulerEffect } from '@apricotrill/policy';
import type { ServiceClass } from '@apricotrill/model';
import { assert } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { Call } from '../workload/Call.js';
import { CallEnd, createCallRecord } from './CallRecord.js';
import type { CallRecord } from './CallRecord.js';
import type { DaemonModel, SubmissionListener } from './DaemonModel.js';

/** Maximum number of times a caller resubmits a call that was refused. */
const MAX_RETRIES = 3;

/** Time that callers wait for the first token before they hang up, in deadlines of the class. */
const CALLER_TIMEOUT_IN_DEADLINES = 1.5;

const MIN_RETRY_DELAY: Milliseconds = 100;

/** Violations of invariants, counted over a run. */
export interface Violations {
  /** An attempt resumed at a token other than the next one to deliver. */
  wrongResume: number;
  /** A request was reported as done, but the tokens delivered are not as many as the answer has. */
  cutAnswers: number;
  /** A call that is not repeatable ran more than once. */
  doubledRuns: number;
  /** A submission was given up as not run, although a backend server had computed for it. */
  falseNotRun: number;
}

type GiveUp = Extract<SchedulerEffect, { kind: 'give-up' }>;

interface OpenSubmission {
  record: CallRecord;
  daemon: DaemonModel;
}

/**
 * All callers of a run: they submit calls through the load balancer, retry refused ones a bounded
 * number of times, hang up after a timeout, and record what was delivered.
 *
 * @internal
 */
export class Callers implements SubmissionListener {
  readonly records = new Map<string, CallRecord>();

  readonly violations: Violations = {
    wrongResume: 0,
    cutAnswers: 0,
    doubledRuns: 0,
    falseNotRun: 0,
  };

  /** Number of calls that have not ended yet, including those not submitted yet. */
  open = 0;

  private readonly submissions = new Map<string, OpenSubmission>();

  /** Submissions for which a backend server has computed output. */
  private readonly started = new Set<string>();

  /** Submissions that were given up as not run. */
  private readonly notRun = new Set<string>();

  private daemons: DaemonModel[] = [];

  constructor(
    private readonly context: {
      clock: Clock;
      random: Random;
      classes: ServiceClass[];
      callerDelay: Milliseconds;
      /** Time during which callers start new calls. */
      span: Milliseconds;
    },
  ) {}

  /** Schedules the first submission of each call. */
  start(calls: Call[], daemons: DaemonModel[]): void {
    this.daemons = daemons;
    this.open = calls.length;
    calls.forEach((call) => {
      const serviceClass = this.context.classes.find(({ name }) => name === call.className);
      assert(serviceClass !== undefined, `class ${call.className} is in the rules`);
      const record = createCallRecord(call, serviceClass);
      this.records.set(call.id, record);
      this.context.clock.setTimer(call.arrived + this.context.callerDelay, () =>
        this.submit(record),
      );
    });
  }

  onTokens(id: string, units: number): void {
    const record = this.submissions.get(id)?.record;
    if (record === undefined) {
      return;
    }
    const now = this.context.clock.now() + this.context.callerDelay;
    record.firstTokenAt ??= now;
    record.lastTokenAt = now;
    record.delivered += units;
    record.deliveredInSpan += now <= this.context.span ? units : 0;
    if (record.call.hangsUpAfter !== undefined && record.delivered >= record.call.hangsUpAfter) {
      this.hangUp(id, CallEnd.Left);
    }
  }

  onDispatch(id: string, resumeAt: number): void {
    const record = this.submissions.get(id)?.record;
    if (record !== undefined && record.delivered !== resumeAt) {
      this.violations.wrongResume += 1;
    }
  }

  onDone(id: string): void {
    const record = this.submissions.get(id)?.record;
    if (record === undefined) {
      return;
    }
    const { work } = record.call;
    if (record.delivered !== (work.kind === 'chat' ? work.answerTokens : 1)) {
      this.violations.cutAnswers += 1;
    }
    this.settle(id, record, CallEnd.Completed);
  }

  onGiveUp(effect: GiveUp): void {
    const record = this.submissions.get(effect.id)?.record;
    if (record === undefined) {
      return;
    }
    record.refusals += 1;
    if (effect.outcome === ExecutionOutcome.NotRun) {
      this.notRun.add(effect.id);
      this.violations.falseNotRun += this.started.has(effect.id) ? 1 : 0;
    }
    const mayRepeat = record.serviceClass.repeatable || effect.outcome === ExecutionOutcome.NotRun;
    const delay = Math.max(MIN_RETRY_DELAY, effect.retryAfter) * (1 + this.context.random.next());
    const isInTime =
      this.context.clock.now() + delay - record.call.arrived < this.getCallerTimeout(record);
    if (!mayRepeat || !isInTime || record.submissions > MAX_RETRIES) {
      this.settle(effect.id, record, CallEnd.GivenUp);
      return;
    }
    this.submissions.delete(effect.id);
    this.context.clock.setTimer(delay, () => this.submit(record));
  }

  /** Records output that a backend server computed, whether or not it is delivered. */
  addComputed(key: string, units: number, finished: boolean): void {
    const [call, submission] = key.split('/');
    const record = this.records.get(call!);
    if (record === undefined) {
      return;
    }
    record.computed += units;
    this.recordStarted(`${call}/${submission}`);
    if (finished && record.call.work.kind === 'plain') {
      record.runs += 1;
      if (record.runs > 1 && !record.serviceClass.repeatable) {
        this.violations.doubledRuns += 1;
      }
    }
  }

  private recordStarted(id: string): void {
    if (!this.started.has(id)) {
      this.started.add(id);
      // Output may be computed after the caller was told that the call had not run.
      this.violations.falseNotRun += this.notRun.has(id) ? 1 : 0;
    }
  }

  // eslint-disable-next-line class-methods-use-this
  private getCallerTimeout({ serviceClass }: CallRecord): Milliseconds {
    return serviceClass.deadline * CALLER_TIMEOUT_IN_DEADLINES;
  }

  private submit(record: CallRecord): void {
    const { clock } = this.context;
    const { call, serviceClass } = record;
    const submissions = record.submissions + 1;
    const initialValues = { delivered: 0, deliveredInSpan: 0, firstTokenAt: undefined };
    Object.assign(record, { submissions, ...initialValues });
    const id = `${call.id}/${submissions}`;
    const daemon = this.daemons[(call.route + submissions) % this.daemons.length]!;
    this.submissions.set(id, { record, daemon });
    const timeout = call.arrived + this.getCallerTimeout(record) - clock.now();
    clock.setTimer(timeout, () => {
      if (record.firstTokenAt === undefined) {
        this.hangUp(id, CallEnd.TimedOut);
      }
    });
    daemon.submit(
      {
        id,
        service: call.service,
        model: call.model,
        workspace: call.workspace,
        workspaceWeight: 1,
        serviceClass,
        prefixHash: call.work.kind === 'chat' ? call.work.prefixHash : undefined,
        resumable: call.work.kind === 'chat',
        arrivedAt: clock.now(),
      },
      call.work,
    );
  }

  private hangUp(id: string, end: CallEnd): void {
    const submission = this.submissions.get(id);
    if (submission !== undefined) {
      this.settle(id, submission.record, end);
      submission.daemon.handleCallerLeft(id);
    }
  }

  private settle(id: string, record: CallRecord, end: CallEnd): void {
    this.submissions.delete(id);
    Object.assign(record, { end, settledAt: this.context.clock.now() });
    this.open -= 1;
  }
}
