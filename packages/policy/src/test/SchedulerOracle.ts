import { assert } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, CancelReason, GiveUpReason, ExecutionOutcome } from '../lib/messages.js';
import type { SchedulerEffect, SchedulerMessage } from '../lib/messages.js';
import { RequestHistory } from './RequestHistory.js';
import type { SentAttempt } from './RequestHistory.js';

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;
type Cancel = Extract<SchedulerEffect, { kind: 'cancel' }>;
type GiveUp = Extract<SchedulerEffect, { kind: 'give-up' }>;

const URGENT_TIER = 1;

const PREEMPTING_TIER = 2;

function mayHaveRun({ status }: SentAttempt): boolean {
  return status !== AttemptStatus.NotSent && status !== AttemptStatus.Refused;
}

/**
 * Checks the invariants of the scheduler. The oracle receives every message and every effect, keeps
 * the simplest possible record of them, and throws at the first effect that violates an invariant.
 */
export class SchedulerOracle {
  readonly histories = new Map<string, RequestHistory>();

  readonly listed = new Set<string>();

  readonly leaving = new Set<string>();

  isDraining = false;

  private readonly cancelGrace: Milliseconds;

  private readonly maxPreemptions: number;

  /** Preemptions whose slots have not been used by a more urgent request yet. */
  private unusedPreemptions: { tier: number; replica: string }[] = [];

  constructor(options: { cancelGrace: Milliseconds; maxPreemptions: number }) {
    this.cancelGrace = options.cancelGrace;
    this.maxPreemptions = options.maxPreemptions;
  }

  /** Requests that are not finished. */
  getUnfinished(): RequestHistory[] {
    return [...this.histories.values()].filter(({ isFinished }) => !isFinished);
  }

  /** The attempt of a request that may still deliver tokens, if any. */
  getLiveAttempt(history: RequestHistory, now: Milliseconds): SentAttempt | undefined {
    const last = history.attempts.at(-1);
    const hasEnded =
      last?.status !== undefined ||
      (last?.cancelledAt !== undefined && now >= last.cancelledAt + this.cancelGrace);
    return hasEnded ? undefined : last;
  }

  recordMessage(message: SchedulerMessage): void {
    if (message.kind === 'submit') {
      this.histories.set(message.request.id, new RequestHistory(message.request));
    } else if (message.kind === 'replicas') {
      this.listed.clear();
      message.replicas.forEach(({ id }) => this.listed.add(id));
    } else if (message.kind === 'replica-leaving') {
      this.leaving.add(message.replica);
    } else if (message.kind === 'replica-returned') {
      this.leaving.delete(message.replica);
    } else if (message.kind === 'drain') {
      this.isDraining = true;
    } else {
      this.recordRequestMessage(message);
    }
  }

  checkEffect(effect: SchedulerEffect, now: Milliseconds): void {
    const history = this.histories.get(effect.id);
    assert(
      history !== undefined && !history.isFinished,
      `request ${effect.id} must be in progress: ${effect.kind}`,
    );
    if (effect.kind === 'dispatch') {
      this.checkDispatch(history, effect, now);
    } else if (effect.kind === 'cancel') {
      this.checkCancel(history, effect, now);
    } else if (effect.kind === 'give-up') {
      this.checkGiveUp(history, effect, now);
    } else {
      assert(
        history.attempts.at(-1)?.status === AttemptStatus.Completed,
        'a done request must have completed',
      );
      history.finish();
    }
  }

  /** To be called after all effects of a message have been checked. */
  checkPreemptionsUsed(): void {
    assert(
      this.unusedPreemptions.length === 0,
      'each preemption must make room for a more urgent request',
    );
  }

  private recordRequestMessage(message: SchedulerMessage): void {
    const history = 'id' in message ? this.histories.get(message.id) : undefined;
    if (history === undefined) {
      return;
    }
    if (message.kind === 'caller-left') {
      history.isFinished =
        history.attempts.at(-1)?.status !== undefined || history.attempts.length === 0;
      history.isFinished ||= history.attempts.at(-1)?.cancelledAt !== undefined;
    } else if (message.kind === 'progress') {
      history.hasStarted = true;
      history.deliveredTokens += message.tokens;
      history.attempts.at(-1)!.hasOutput = true;
    } else if (message.kind === 'attempt-ended') {
      history.attempts.find(({ number }) => number === message.attempt)!.status = message.end;
    }
  }

  private checkDispatch(history: RequestHistory, effect: Dispatch, now: Milliseconds): void {
    const { request, attempts } = history;
    const { serviceClass, resumable } = request;
    assert(
      this.getLiveAttempt(history, now) === undefined,
      'a request must have at most one live attempt',
    );
    assert(effect.attempt === attempts.length + 1, 'attempts must be numbered consecutively');
    assert(this.listed.has(effect.replica.id), 'the replica must be in the list');
    assert(!this.leaving.has(effect.replica.id), 'the replica must not be leaving');
    assert(
      serviceClass.repeatable || !attempts.some(mayHaveRun),
      'an unrepeatable request that may have run must not run again',
    );
    assert(resumable || !history.hasStarted, 'an unresumable response must not start twice');
    assert(
      effect.resumeAt === (resumable ? history.deliveredTokens : 0),
      'no token may be repeated or skipped',
    );
    attempts.push({ number: effect.attempt, replica: effect.replica.id });
    this.unusedPreemptions = this.unusedPreemptions.filter(
      (preemption) =>
        preemption.replica !== effect.replica.id ||
        serviceClass.tier >= preemption.tier ||
        serviceClass.tier > PREEMPTING_TIER,
    );
  }

  private checkCancel(history: RequestHistory, effect: Cancel, now: Milliseconds): void {
    const live = this.getLiveAttempt(history, now);
    assert(live?.number === effect.attempt, 'only the live attempt may be cancelled');
    live.cancelledAt = now;
    if (effect.reason === CancelReason.CallerLeft) {
      history.finish();
    }
    if (effect.reason === CancelReason.Preempted) {
      const { serviceClass, resumable } = history.request;
      assert(serviceClass.preemptible, 'only preemptible requests may be preempted');
      assert(serviceClass.tier > URGENT_TIER, 'urgent tiers must not be preempted');
      assert(resumable || !history.hasStarted, 'a preempted request must be able to continue');
      assert(
        history.recordPreemption() <= this.maxPreemptions,
        'a request must not exceed its maximum number of preemptions',
      );
      if (!this.isAwaitedByMoreUrgent(effect.replica, serviceClass.tier, now)) {
        this.unusedPreemptions.push({ tier: serviceClass.tier, replica: effect.replica });
      }
    }
  }

  /** Whether a more urgent request at the replica is waiting for its first token. */
  private isAwaitedByMoreUrgent(replica: string, tier: number, now: Milliseconds): boolean {
    return this.getUnfinished().some((history) => {
      const live = this.getLiveAttempt(history, now);
      const otherTier = history.request.serviceClass.tier;
      const goesFirst = otherTier < tier && otherTier <= PREEMPTING_TIER;
      return goesFirst && live?.replica === replica && live.hasOutput !== true;
    });
  }

  private checkGiveUp(history: RequestHistory, effect: GiveUp, now: Milliseconds): void {
    const { attempts, request } = history;
    const { tier, repeatable } = request.serviceClass;
    assert(
      this.getLiveAttempt(history, now) === undefined,
      'a request must not be given up while it runs',
    );
    const notRun = !attempts.some(mayHaveRun);
    assert(
      (effect.outcome === ExecutionOutcome.NotRun) === notRun,
      'the outcome must be not-run exactly if no attempt may have run',
    );
    assert(
      effect.outcome !== ExecutionOutcome.Unknown || !repeatable,
      'only unrepeatable requests may have an unknown outcome',
    );
    assert(effect.retryAfter > 0, 'a refusal must state a retry delay');
    history.finish();
    if (effect.reason === GiveUpReason.Overload) {
      const isLeastUrgent = this.getUnfinished().every(
        (other) => other.attempts.length > 0 || other.request.serviceClass.tier <= tier,
      );
      assert(isLeastUrgent, 'no less urgent request may wait while one is shed');
    }
  }
}
