import { assert } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, CancelReason, GiveUpReason, ExecutionOutcome } from '../lib/messages.js';
import type { SchedulerEffect, SchedulerMessage } from '../lib/messages.js';
import { Story } from './Story.js';
import type { Sent } from './Story.js';

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;
type Cancel = Extract<SchedulerEffect, { kind: 'cancel' }>;
type GiveUp = Extract<SchedulerEffect, { kind: 'give-up' }>;

const URGENT_TIER = 1;

const PREEMPTING_TIER = 2;

function canHaveRun({ end }: Sent): boolean {
  return end !== AttemptStatus.NotSent && end !== AttemptStatus.Refused;
}

/**
 * What must hold, whatever happens: it hears every message and every effect, keeps the plainest
 * account of them, and throws at the first effect that breaks a promise.
 */
export class SchedulerOracle {
  readonly stories = new Map<string, Story>();

  readonly listed = new Set<string>();

  readonly leaving = new Set<string>();

  isDraining = false;

  private readonly grace: Milliseconds;

  private readonly maxPreemptions: number;

  /** Preemptions that no more urgent request has used yet. */
  private preempted: { tier: number; replica: string }[] = [];

  constructor(rules: { cancelGrace: Milliseconds; maxPreemptions: number }) {
    this.grace = rules.cancelGrace;
    this.maxPreemptions = rules.maxPreemptions;
  }

  /** Requests that are not over. */
  getOpen(): Story[] {
    return [...this.stories.values()].filter(({ isOver }) => !isOver);
  }

  /** The attempt of a request that may still deliver, if any. */
  getLive(story: Story, now: Milliseconds): Sent | undefined {
    const last = story.attempts.at(-1);
    const isDead =
      last?.end !== undefined ||
      (last?.cancelledAt !== undefined && now >= last.cancelledAt + this.grace);
    return isDead ? undefined : last;
  }

  hear(message: SchedulerMessage): void {
    if (message.kind === 'submit') {
      this.stories.set(message.request.id, new Story(message.request));
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
      this.hearOfRequest(message);
    }
  }

  check(effect: SchedulerEffect, now: Milliseconds): void {
    const story = this.stories.get(effect.id);
    assert(story !== undefined && !story.isOver, `${effect.id} is under way: ${effect.kind}`);
    if (effect.kind === 'dispatch') {
      this.checkDispatch(story, effect, now);
    } else if (effect.kind === 'cancel') {
      this.checkCancel(story, effect, now);
    } else if (effect.kind === 'give-up') {
      this.checkGiveUp(story, effect, now);
    } else {
      assert(story.attempts.at(-1)?.end === AttemptStatus.Completed, 'done means completed');
      story.finish();
    }
  }

  /** Call it when all effects of a message were checked. */
  checkRest(): void {
    assert(this.preempted.length === 0, 'each preemption makes room for a more urgent request');
  }

  private hearOfRequest(message: SchedulerMessage): void {
    const story = 'id' in message ? this.stories.get(message.id) : undefined;
    if (story === undefined) {
      return;
    }
    if (message.kind === 'caller-left') {
      story.isOver = story.attempts.at(-1)?.end !== undefined || story.attempts.length === 0;
      story.isOver ||= story.attempts.at(-1)?.cancelledAt !== undefined;
    } else if (message.kind === 'progress') {
      story.isBegun = true;
      story.delivered += message.tokens;
      story.attempts.at(-1)!.isAnswered = true;
    } else if (message.kind === 'attempt-ended') {
      story.attempts.find(({ number }) => number === message.attempt)!.end = message.end;
    }
  }

  private checkDispatch(story: Story, effect: Dispatch, now: Milliseconds): void {
    const { request, attempts } = story;
    const { serviceClass, resumable } = request;
    assert(this.getLive(story, now) === undefined, 'one live attempt at most');
    assert(effect.attempt === attempts.length + 1, 'attempts are numbered in order');
    assert(this.listed.has(effect.replica.id), 'the replica is in the list');
    assert(!this.leaving.has(effect.replica.id), 'the replica is not leaving');
    assert(serviceClass.repeatable || !attempts.some(canHaveRun), 'what may have run runs once');
    assert(resumable || !story.isBegun, 'no answer begins twice');
    assert(effect.resumeAt === (resumable ? story.delivered : 0), 'no token twice, none skipped');
    attempts.push({ number: effect.attempt, replica: effect.replica.id });
    this.preempted = this.preempted.filter(
      (victim) =>
        victim.replica !== effect.replica.id ||
        serviceClass.tier >= victim.tier ||
        serviceClass.tier > PREEMPTING_TIER,
    );
  }

  private checkCancel(story: Story, effect: Cancel, now: Milliseconds): void {
    const live = this.getLive(story, now);
    assert(live?.number === effect.attempt, 'the live attempt is cancelled');
    live.cancelledAt = now;
    if (effect.reason === CancelReason.CallerLeft) {
      story.finish();
    }
    if (effect.reason === CancelReason.Preempted) {
      const { serviceClass, resumable } = story.request;
      assert(serviceClass.preemptible, 'only what may be preempted is');
      assert(serviceClass.tier > URGENT_TIER, 'urgent tiers are never preempted');
      assert(resumable || !story.isBegun, 'what is preempted can go on');
      assert(story.preempt() <= this.maxPreemptions, 'nobody is preempted for ever');
      if (!this.isAwaited(effect.replica, serviceClass.tier, now)) {
        this.preempted.push({ tier: serviceClass.tier, replica: effect.replica });
      }
    }
  }

  /** Whether a more urgent request is at the replica and has not begun its answer. */
  private isAwaited(replica: string, tier: number, now: Milliseconds): boolean {
    return this.getOpen().some((story) => {
      const live = this.getLive(story, now);
      const own = story.request.serviceClass.tier;
      const isFirst = own < tier && own <= PREEMPTING_TIER;
      return isFirst && live?.replica === replica && live.isAnswered !== true;
    });
  }

  private checkGiveUp(story: Story, effect: GiveUp, now: Milliseconds): void {
    const { attempts, request } = story;
    const { tier, repeatable } = request.serviceClass;
    assert(this.getLive(story, now) === undefined, 'nothing is given up while it runs');
    const notRun = !attempts.some(canHaveRun);
    assert((effect.outcome === ExecutionOutcome.NotRun) === notRun, 'not-run is the truth');
    assert(
      effect.outcome !== ExecutionOutcome.Unknown || !repeatable,
      'unknown is for what runs once',
    );
    assert(effect.retryAfter > 0, 'a refusal says when to ask again');
    story.finish();
    if (effect.reason === GiveUpReason.Overload) {
      const isLast = this.getOpen().every(
        (other) => other.attempts.length > 0 || other.request.serviceClass.tier <= tier,
      );
      assert(isLast, 'nothing less urgent waits while something is shed');
    }
  }
}
