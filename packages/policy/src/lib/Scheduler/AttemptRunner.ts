import type { Clock, Milliseconds } from '@apricotrill/utils';
import { CancelReason } from '../messages.js';
import type { SchedulerEffect } from '../messages.js';
import type { PolicyOptions } from '../policyOptions.js';
import type { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import { Attempt } from './Attempt.js';
import { getTimeouts } from './getTimeouts.js';
import { Phase } from './RequestRecord.js';
import type { RequestRecord } from './RequestRecord.js';
import type { RunningRequests } from './RunningRequests.js';
import type { Slot } from './SlotFinder.js';

/**
 * Constructor arguments of an `AttemptRunner`.
 *
 * @internal
 */
export interface AttemptRunnerSettings {
  clock: Clock;
  options: PolicyOptions;
  table: ReplicaTable;
  running: RunningRequests;
  emit: (effect: SchedulerEffect) => void;
  /** The end of a cancelled attempt was not reported in time. */
  onCancelTimeout: (record: RequestRecord) => void;
  /**
   * An attempt has waited so long for its first token that a less urgent request should be
   * preempted for it.
   *
   * @returns whether a request was preempted
   */
  onFirstTokenLate: (record: RequestRecord) => boolean;
  /** An attempt exceeded its token timeout, and the owner did not end it. */
  onTimeout: (record: RequestRecord) => void;
}

/**
 * Starts and cancels attempts, and tracks the slots they occupy.
 *
 * @internal
 */
export class AttemptRunner {
  private readonly settings: AttemptRunnerSettings;

  constructor(settings: AttemptRunnerSettings) {
    this.settings = settings;
  }

  /**
   * Sends a request to a replica.
   *
   * @param freeSlot - called when the attempt no longer occupies a slot
   */
  dispatch(record: RequestRecord, slot: Slot, freeSlot: () => void): void {
    const { state, reason, priority } = slot;
    const { clock, options, emit, running } = this.settings;
    const now = clock.now();
    const timeouts = getTimeouts(record, options, now);
    const number = record.nextAttemptNumber;
    const hadFreeSlot = state.getPressure(now) <= 1;
    const attempt = new Attempt({
      number,
      state,
      startedAt: now,
      hadFreeSlot,
      ...timeouts,
    });
    if (slot.mayPreemptLater) {
      attempt.schedulePreemption(now + this.getPreemptionDelay(record));
    }
    record.beginAttempt(attempt, freeSlot);
    record.enterPhase(Phase.Running);
    this.scheduleCheck(record, attempt);
    running.add(record, state);
    this.recordSlotChange(record, attempt, 1, now);
    emit({
      kind: 'dispatch',
      id: record.id,
      attempt: number,
      replica: state.replica,
      resumeAt: record.request.resumable ? record.deliveredTokens : 0,
      ...timeouts,
      priority,
      reason,
    });
  }

  /**
   * Cancels an attempt. Its slot is free at once, but the request is retried only after the end of
   * the attempt has been reported or is overdue. Until then the owner may still deliver tokens it
   * had already received, and a new attempt would deliver them a second time.
   */
  cancel(record: RequestRecord, reason: CancelReason): void {
    const { clock, options, onCancelTimeout } = this.settings;
    this.emitCancel(record, reason);
    this.release(record);
    record.enterPhase(
      Phase.Cancelling,
      clock.setTimer(options.cancelGrace, () => onCancelTimeout(record)),
    );
  }

  /** Cancels an attempt whose caller has disconnected. */
  abandon(record: RequestRecord): void {
    this.emitCancel(record, CancelReason.CallerLeft);
    this.release(record);
  }

  /** Frees the slot of the current attempt. */
  release(record: RequestRecord): void {
    const attempt = record.attempt!;
    record.releaseSlot();
    this.settings.running.remove(record, attempt.state);
    this.recordSlotChange(record, attempt, -1, this.settings.clock.now());
  }

  private recordSlotChange(
    record: RequestRecord,
    { state }: Attempt,
    change: 1 | -1,
    now: Milliseconds,
  ): void {
    state.recordRunningChange(now, record.tier, change);
    record.pool.recordRunningChange(change, now);
    this.settings.table.refresh(state);
  }

  /**
   * Schedules the next check of a running attempt. A check preempts another request when this one
   * has waited too long at the replica, and ends the attempt when it has timed out. The owner
   * applies the same timeouts and usually ends the attempt first; this check covers an owner that
   * lost track of it.
   */
  private scheduleCheck(record: RequestRecord, attempt: Attempt): void {
    const { clock, options, onTimeout, onFirstTokenLate } = this.settings;
    const nextCheckAt = attempt.getNextCheckAt(options.silenceTimeoutMargin);
    const timer = clock.setTimer(nextCheckAt - clock.now(), () => {
      const now = clock.now();
      if (now >= attempt.timesOutAt + options.silenceTimeoutMargin) {
        onTimeout(record);
        return;
      }
      if (attempt.takeDuePreemption(now) && !onFirstTokenLate(record)) {
        attempt.schedulePreemption(now + this.getPreemptionDelay(record));
      }
      this.scheduleCheck(record, attempt);
    });
    record.setPhaseTimer(timer);
  }

  private getPreemptionDelay({ request }: RequestRecord): Milliseconds {
    return this.settings.options.preemptionDelayFactor * request.serviceClass.target.firstToken;
  }

  private emitCancel(record: RequestRecord, reason: CancelReason): void {
    const attempt = record.attempt!;
    attempt.markCancelled(reason);
    const { number, state } = attempt;
    this.settings.emit({
      kind: 'cancel',
      id: record.id,
      attempt: number,
      replica: state.id,
      reason,
    });
  }
}
