import { getHash } from '@apricotrill/utils';
import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { QueuePlace } from '../ClassFairQueue/QueuePlace.js';
import { AttemptStatus, ExecutionOutcome } from '../messages.js';
import type { ScheduledRequest } from '../messages.js';
import type { ReplicaCriteria } from '../ReplicaChooser/ReplicaChooser.js';
import type { ReplicaPool } from '../ReplicaChooser/ReplicaPool.js';
import type { Attempt, Measurement } from './Attempt.js';

/** The phase of a request in its life cycle. */
export enum Phase {
  /** In the queue. */
  Waiting = 'waiting',
  /** Temporarily out of the queue, because only replicas that failed this request have free slots. */
  Parked = 'parked',
  Running = 'running',
  /** Its attempt was cancelled, and the end of the attempt has not been reported yet. */
  Cancelling = 'cancelling',
  Over = 'over',
}

function getAffinityKey({ service, model, workspace, prefixHash }: ScheduledRequest) {
  return prefixHash === undefined
    ? undefined
    : getHash(`${service}\n${model ?? ''}\n${workspace}`, prefixHash);
}

/**
 * The state of one request, from its arrival to its end.
 *
 * @internal
 */
export class RequestRecord {
  readonly request: ScheduledRequest;

  readonly pool: ReplicaPool;

  readonly isUrgent: boolean;

  /** Replicas at which this request failed, or which it left because they were too slow. */
  readonly failedReplicas = new Set<string>();

  private readonly affinityKey: number | undefined;

  private currentPhase = Phase.Waiting;

  private currentAttempt: Attempt | undefined;

  private attemptCount = 0;

  private deliveredTokenCount = 0;

  private responseStarted = false;

  /** Whether an attempt was sent that is not known to have been refused before it ran. */
  private possiblyRan = false;

  private failureCount = 0;

  private preemptionCount = 0;

  private parkings = 0;

  private moved = false;

  private phaseTimer: Timer | undefined;

  private onSlotReleased: (() => void) | undefined;

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

  get nextAttemptNumber(): number {
    return this.attemptCount + 1;
  }

  /** Tokens delivered to the caller. */
  get deliveredTokens(): number {
    return this.deliveredTokenCount;
  }

  /** Whether any part of the response has been delivered to the caller. */
  get hasResponseStarted(): boolean {
    return this.responseStarted;
  }

  /**
   * Whether the deadline no longer applies, because the response has started or the request was
   * preempted after it had been dispatched.
   */
  get isExemptFromDeadline(): boolean {
    return this.responseStarted || this.preemptionCount > 0;
  }

  get failures(): number {
    return this.failureCount;
  }

  get preemptions(): number {
    return this.preemptionCount;
  }

  get parkCount(): number {
    return this.parkings;
  }

  get hasMoved(): boolean {
    return this.moved;
  }

  get mayHaveRun(): boolean {
    return this.possiblyRan;
  }

  get deadline(): Milliseconds {
    return this.request.arrivedAt + this.request.serviceClass.deadline;
  }

  /** The outcome to report to the caller if the request is given up now. */
  get outcome(): ExecutionOutcome {
    if (!this.possiblyRan) {
      return ExecutionOutcome.NotRun;
    }
    return this.request.serviceClass.repeatable
      ? ExecutionOutcome.Failed
      : ExecutionOutcome.Unknown;
  }

  /** Whether the request could continue at another replica without the caller noticing. */
  get canMove(): boolean {
    const { resumable, serviceClass } = this.request;
    return serviceClass.repeatable && (resumable || !this.responseStarted);
  }

  getPlace(): QueuePlace {
    const { id, serviceClass, workspace, workspaceWeight } = this.request;
    const resumed = this.attemptCount > 0 || this.parkings > 0;
    return {
      id,
      serviceClass,
      workspace,
      weight: workspaceWeight,
      pool: this.pool.model ?? '',
      resumed,
    };
  }

  getReplicaCriteria(): ReplicaCriteria {
    const mayProbe = this.request.serviceClass.repeatable && !this.isUrgent;
    const { affinityKey, failedReplicas: failed, tier, isUrgent } = this;
    return { affinityKey, failed, mayProbe, tier, isUrgent };
  }

  /** Enters a phase, and cancels the timer of the previous one. */
  enterPhase(phase: Phase, phaseTimer?: Timer): void {
    this.phaseTimer?.cancel();
    this.phaseTimer = phaseTimer;
    this.currentPhase = phase;
  }

  /** Replaces the timer of the current phase. */
  setPhaseTimer(phaseTimer: Timer): void {
    this.phaseTimer?.cancel();
    this.phaseTimer = phaseTimer;
  }

  /**
   * Begins an attempt.
   *
   * @param onSlotReleased - called when the attempt no longer occupies a slot
   */
  beginAttempt(attempt: Attempt, onSlotReleased: () => void): void {
    this.attemptCount = attempt.number;
    this.currentAttempt = attempt;
    this.onSlotReleased = onSlotReleased;
    this.parkings = 0;
  }

  releaseSlot(): void {
    this.onSlotReleased?.();
    this.onSlotReleased = undefined;
  }

  recordProgress(tokens: number, now: Milliseconds): Measurement | undefined {
    this.responseStarted = true;
    this.deliveredTokenCount += tokens;
    return this.currentAttempt?.recordTokens(tokens, now);
  }

  /** Records how the current attempt ended. */
  endAttempt(status: AttemptStatus): void {
    this.currentAttempt = undefined;
    if (status !== AttemptStatus.NotSent && status !== AttemptStatus.Refused) {
      this.possiblyRan = true;
    }
  }

  recordFailure(replica: string): void {
    this.failureCount += 1;
    this.failedReplicas.add(replica);
  }

  recordPreemption(): void {
    this.preemptionCount += 1;
  }

  /** Records that the request is moved away from a straggler, which happens at most once. */
  recordMove(replica: string): void {
    this.moved = true;
    this.failedReplicas.add(replica);
  }

  /** Records that only replicas that failed this request had free slots. */
  recordParking(): void {
    this.parkings += 1;
  }

  /** Allows the replicas that failed this request to be tried again. */
  clearFailedReplicas(): void {
    this.failedReplicas.clear();
  }
}
