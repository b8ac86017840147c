import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import { AttemptEnd } from '../../messages.js';
import type { LoadReport } from '../../messages.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import type { RunningAttempt } from '../../RequestRecord.js';
import { fragilityOptions } from '../fragilityOptions.js';

/** Dependencies of {@link AbandonedAttempts}. */
export interface AbandonedAttemptsParts {
  clock: Clock;
  /** Called when a replica may have a free slot again. */
  onReleased: (state: ReplicaState) => void;
}

/** Whether a replica may go on with an attempt that ended like this. */
export function mayGoOn(end: AttemptEnd): boolean {
  switch (end) {
    case AttemptEnd.Broken:
    case AttemptEnd.Unread:
    case AttemptEnd.Cancelled:
      return true;
    case AttemptEnd.Completed:
    case AttemptEnd.Failed:
    case AttemptEnd.Refused:
    case AttemptEnd.Misdirected:
    case AttemptEnd.NotSent:
    case AttemptEnd.NoPath:
    case AttemptEnd.Withdrawn:
      return false;
    default:
      return end satisfies never;
  }
}

/**
 * Counts attempts as in flight that their daemon has ended, while their replica may go on with them: the caller
 * has left, a time limit has passed, or the connection broke. They count until the replica states that it runs
 * fewer requests, or has usually responded, with a reserve.
 */
export class AbandonedAttempts {
  /** Timers that end the wait, in the order in which the attempts were abandoned. */
  private readonly timers = new Map<RunningAttempt, Timer>();

  constructor(private readonly parts: AbandonedAttemptsParts) {}

  /** Keeps the slot of an attempt that has just been removed. */
  add(ended: RunningAttempt): void {
    const { clock } = this.parts;
    // This daemon expects no response to it any more.
    const attempt = { ...ended, isOwn: false };
    const delay = AbandonedAttempts.getRemainingTime(attempt, clock.now());
    attempt.state.running.add(attempt);
    this.timers.set(
      attempt,
      clock.setTimer(delay, () => this.release(attempt)),
    );
  }

  /**
   * Releases slots that the replica states to be free, the oldest first. The report came with the response to
   * an attempt that still counts as in flight.
   */
  recordReport(state: ReplicaState, { running, waiting }: LoadReport): void {
    const abandoned = [...this.timers.keys()].filter((attempt) => attempt.state === state);
    if (abandoned.length === 0) {
      return;
    }
    const cutoff = this.parts.clock.now() - fragilityOptions.reportDelay;
    const counted = [...state.running].filter(({ sentAt }) => sentAt < cutoff).length;
    const excess = Math.max(0, counted - 1 - running - waiting);
    abandoned.slice(0, excess).forEach((attempt) => this.release(attempt));
  }

  private release(attempt: RunningAttempt): void {
    this.timers.get(attempt)?.cancel();
    this.timers.delete(attempt);
    attempt.state.running.delete(attempt);
    this.parts.onReleased(attempt.state);
  }

  private static getRemainingTime(
    { state, sentAt }: RunningAttempt,
    now: Milliseconds,
  ): Milliseconds {
    const { latencyReserve, maxAbandonedTime } = fragilityOptions;
    const { measuredLatency } = state;
    if (!state.hasMeasuredLatency) {
      return maxAbandonedTime;
    }
    const remaining = sentAt + measuredLatency * latencyReserve - now;
    return Math.min(maxAbandonedTime, Math.max(measuredLatency, remaining));
  }
}
