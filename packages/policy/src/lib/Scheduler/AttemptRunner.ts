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
 * What the runner is made of.
 *
 * @internal
 */
export interface AttemptRunnerParts {
  clock: Clock;
  options: PolicyOptions;
  table: ReplicaTable;
  running: RunningRequests;
  emit: (effect: SchedulerEffect) => void;
  /** A cancelled attempt did not report its end in time. */
  onCancelled: (record: RequestRecord) => void;
  /**
   * An attempt has waited too long for its first token to wait on behind less urgent work.
   *
   * @returns whether something was stopped for it
   */
  onLate: (record: RequestRecord) => boolean;
  /** An attempt has been silent for longer than its owner should have allowed. */
  onSilent: (record: RequestRecord) => void;
}

/**
 * Starts and stops attempts, and keeps count of the slots they take.
 *
 * @internal
 */
export class AttemptRunner {
  private readonly parts: AttemptRunnerParts;

  constructor(parts: AttemptRunnerParts) {
    this.parts = parts;
  }

  /**
   * Sends a request to a replica.
   *
   * @param freeSlot - tells the queue that the attempt no longer takes a slot
   */
  dispatch(record: RequestRecord, slot: Slot, freeSlot: () => void): void {
    const { state, reason, priority } = slot;
    const { clock, options, emit, running } = this.parts;
    const now = clock.now();
    const timeouts = getTimeouts(record, options, now);
    const number = record.nextAttempt;
    const hadRoom = state.getPressure(now) <= 1;
    const attempt = new Attempt({ number, state, startedAt: now, hadRoom, ...timeouts });
    if (slot.mayPreemptLater) {
      attempt.preemptLater(now + this.getPatience(record));
    }
    record.begin(attempt, freeSlot);
    record.enter(Phase.Running);
    this.watch(record, attempt);
    running.add(record, state);
    this.count(record, attempt, 1, now);
    emit({
      kind: 'dispatch',
      id: record.id,
      attempt: number,
      replica: state.replica,
      resumeAt: record.request.resumable ? record.delivered : 0,
      ...timeouts,
      priority,
      reason,
    });
  }

  /**
   * Stops an attempt. Its slot is free at once, but the request goes on only when the end is
   * reported or overdue: until then the owner may still hand over what it had received, and an
   * attempt begun in the meantime would hand it over again.
   */
  cancel(record: RequestRecord, reason: CancelReason): void {
    const { clock, options, onCancelled } = this.parts;
    this.emitCancel(record, reason);
    this.release(record);
    record.enter(
      Phase.Cancelling,
      clock.setTimer(options.cancelGrace, () => onCancelled(record)),
    );
  }

  /** Stops an attempt whose caller has left. */
  abandon(record: RequestRecord): void {
    this.emitCancel(record, CancelReason.CallerLeft);
    this.release(record);
  }

  /** Frees the slot of the present attempt. */
  release(record: RequestRecord): void {
    const attempt = record.attempt!;
    record.release();
    this.parts.running.remove(record, attempt.state);
    this.count(record, attempt, -1, this.parts.clock.now());
  }

  private count(
    record: RequestRecord,
    { state }: Attempt,
    change: 1 | -1,
    now: Milliseconds,
  ): void {
    state.note(now, record.tier, change);
    record.pool.note(change, now);
    this.parts.table.refresh(state);
  }

  /**
   * Looks after an attempt until its end: preempts for it when it waits at the replica for too
   * long, and ends it when its owner lost track of it; usually the owner is quicker.
   */
  private watch(record: RequestRecord, attempt: Attempt): void {
    const { clock, options, onSilent, onLate } = this.parts;
    const check = attempt.getNextCheck(options.silenceMargin);
    const timer = clock.setTimer(check - clock.now(), () => {
      const now = clock.now();
      if (now >= attempt.silentAt + options.silenceMargin) {
        onSilent(record);
        return;
      }
      if (attempt.takePreemption(now) && !onLate(record)) {
        attempt.preemptLater(now + this.getPatience(record));
      }
      this.watch(record, attempt);
    });
    record.watch(timer);
  }

  private getPatience({ request }: RequestRecord): Milliseconds {
    return this.parts.options.preemptionPatience * request.serviceClass.target.firstToken;
  }

  private emitCancel(record: RequestRecord, reason: CancelReason): void {
    const attempt = record.attempt!;
    attempt.cancel(reason);
    const { number, state } = attempt;
    this.parts.emit({
      kind: 'cancel',
      id: record.id,
      attempt: number,
      replica: state.id,
      reason,
    });
  }
}
