import { getHash } from '@apricotrill/utils';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { QueuePlace } from '../ClassFairQueue/QueuePlace.js';
import { AttemptStatus, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest } from '../messages.js';
import type { Wish } from '../ReplicaChooser/ReplicaChooser.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { Attempt, Measurement } from './Attempt.js';

/** Where a request stands. */
export enum Phase {
  /** In the queue. */
  Waiting = 'waiting',
  /** Out of the queue for a moment, because only replicas that failed it have room. */
  Parked = 'parked',
  Running = 'running',
  /** The scheduler cancelled its attempt, which has not reported its end yet. */
  Cancelling = 'cancelling',
  Over = 'over',
}

function getAffinityKey({ service, model, workspace, prefixHash }: ScheduledRequest) {
  return prefixHash === undefined
    ? undefined
    : getHash(`${service}\n${model ?? ''}\n${workspace}`, prefixHash);
}

/**
 * One request from its arrival to its end.
 *
 * @internal
 */
export class RequestRecord {
  readonly request: ScheduledRequest;

  readonly pool: ReplicaPool;

  readonly isUrgent: boolean;

  /** Replicas that failed this request. */
  readonly failed = new Set<string>();

  private readonly affinityKey: number | undefined;

  private currentPhase = Phase.Waiting;

  private currentAttempt: Attempt | undefined;

  private attemptCount = 0;

  private deliveredTokens = 0;

  private begun = false;

  /** Whether an attempt was sent of which nobody can prove that it did not run. */
  private mayHaveRun = false;

  private failureCount = 0;

  private preemptionCount = 0;

  private parkCount = 0;

  private moved = false;

  private timer: Timer | undefined;

  private releaseSlot: (() => void) | undefined;

  constructor(request: ScheduledRequest, pool: ReplicaPool, isUrgent: boolean) {
    this.request = request;
    this.pool = pool;
    this.isUrgent = isUrgent;
    this.affinityKey = getAffinityKey(request);
  }

  get id(): string {
    return this.request.id;
  }

  get tier(): number {
    return this.request.serviceClass.tier;
  }

  get phase(): Phase {
    return this.currentPhase;
  }

  get attempt(): Attempt | undefined {
    return this.currentAttempt;
  }

  get nextAttempt(): number {
    return this.attemptCount + 1;
  }

  /** Tokens the caller has. */
  get delivered(): number {
    return this.deliveredTokens;
  }

  /** Whether the caller has any of the answer. */
  get hasBegun(): boolean {
    return this.begun;
  }

  /** Whether it was admitted and sent on its way, so that its deadline no longer applies. */
  get isUnderWay(): boolean {
    return this.begun || this.preemptionCount > 0;
  }

  get failures(): number {
    return this.failureCount;
  }

  get preemptions(): number {
    return this.preemptionCount;
  }

  get parks(): number {
    return this.parkCount;
  }

  get hasMoved(): boolean {
    return this.moved;
  }

  get hasMaybeRun(): boolean {
    return this.mayHaveRun;
  }

  get deadline(): Milliseconds {
    return this.request.arrivedAt + this.request.serviceClass.deadline;
  }

  /** What its caller may be told if it is given up now. */
  get outcome(): ExecutionOutcome {
    if (!this.mayHaveRun) {
      return ExecutionOutcome.NotRun;
    }
    return this.request.serviceClass.repeatable
      ? ExecutionOutcome.Failed
      : ExecutionOutcome.Unknown;
  }

  /** Whether it could go on at another replica without the caller noticing. */
  get canGoOn(): boolean {
    const { resumable, serviceClass } = this.request;
    return serviceClass.repeatable && (resumable || !this.begun);
  }

  getPlace(): QueuePlace {
    const { id, serviceClass, workspace, workspaceWeight } = this.request;
    const resumed = this.attemptCount > 0 || this.parkCount > 0;
    return {
      id,
      serviceClass,
      workspace,
      weight: workspaceWeight,
      pool: this.pool.model ?? '',
      resumed,
    };
  }

  getWish(): Wish {
    const mayProbe = this.request.serviceClass.repeatable && !this.isUrgent;
    const { affinityKey, failed, tier, isUrgent } = this;
    return { affinityKey, failed, mayProbe, tier, isUrgent };
  }

  /** Moves it to another phase; what was timed in the last one is called off. */
  enter(phase: Phase, timer?: Timer): void {
    this.timer?.cancel();
    this.timer = timer;
    this.currentPhase = phase;
  }

  /** Replaces the timer of the present phase. */
  watch(timer: Timer): void {
    this.timer?.cancel();
    this.timer = timer;
  }

  /**
   * Begins an attempt.
   *
   * @param release - tells the queue that the attempt no longer takes a slot
   */
  begin(attempt: Attempt, release: () => void): void {
    this.attemptCount = attempt.number;
    this.currentAttempt = attempt;
    this.releaseSlot = release;
    this.parkCount = 0;
  }

  release(): void {
    this.releaseSlot?.();
    this.releaseSlot = undefined;
  }

  progress(tokens: number, now: Milliseconds): Measurement | undefined {
    this.begun = true;
    this.deliveredTokens += tokens;
    return this.currentAttempt?.progress(tokens, now);
  }

  /** Notes how the attempt ended. */
  end(end: AttemptStatus): void {
    this.currentAttempt = undefined;
    if (end !== AttemptStatus.NotSent && end !== AttemptStatus.Refused) {
      this.mayHaveRun = true;
    }
  }

  fail(replica: string): void {
    this.failureCount += 1;
    this.failed.add(replica);
  }

  preempt(): void {
    this.preemptionCount += 1;
  }

  /** It leaves a slow replica for another one; once only. */
  move(replica: string): void {
    this.moved = true;
    this.failed.add(replica);
  }

  /** Only replicas that failed it had room; after the pause they may be tried again. */
  park(): void {
    this.parkCount += 1;
  }

  forgive(): void {
    this.failed.clear();
  }
}
