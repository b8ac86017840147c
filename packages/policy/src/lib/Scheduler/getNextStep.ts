import type { Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, GiveUpReason, ExecutionOutcome } from '../messages.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * What happens to a request after one of its attempts has ended.
 *
 * @internal
 */
export type NextStep =
  | { kind: 'done' }
  | { kind: 'retry' }
  | { kind: 'give-up'; outcome: ExecutionOutcome; reason: GiveUpReason };

/**
 * The inputs of the decision in addition to the request.
 *
 * @internal
 */
export interface StepContext {
  status: AttemptStatus;
  /** The scheduler cancelled the attempt, to preempt or move it. This is not counted as a failure. */
  isFaultlessCancel: boolean;
  now: Milliseconds;
  maxFailures: number;
  /** Takes a retry from the retry budget of the service; returns false if none is left. */
  takeRetry: () => boolean;
}

function giveUp(record: RequestRecord, reason: GiveUpReason): NextStep {
  return { kind: 'give-up', outcome: record.outcome, reason };
}

/**
 * Decides what happens to a request after an attempt has ended. A request that is not repeatable is
 * given up with an unknown outcome as soon as one attempt may have run: a second attempt could, for
 * example, charge a customer twice. A request whose response has started is retried only if it can
 * be resumed: a restart would send the beginning of the response to the caller a second time.
 *
 * @param record - the request, with the end of the attempt already recorded
 * @param context - how the attempt ended, and the limits on further attempts
 * @internal
 */
export function getNextStep(record: RequestRecord, context: StepContext): NextStep {
  const { status, isFaultlessCancel, now, maxFailures, takeRetry } = context;
  if (status === AttemptStatus.Completed) {
    return { kind: 'done' };
  }
  if (status === AttemptStatus.Errored) {
    return {
      kind: 'give-up',
      outcome: ExecutionOutcome.Failed,
      reason: GiveUpReason.ReplicaFailed,
    };
  }
  if (record.mayHaveRun && !record.request.serviceClass.repeatable) {
    return giveUp(record, GiveUpReason.MayHaveRun);
  }
  if (record.hasResponseStarted && !record.canMove) {
    return giveUp(record, GiveUpReason.ReplicaFailed);
  }
  if (isFaultlessCancel) {
    return { kind: 'retry' };
  }
  if (!record.isExemptFromDeadline && now >= record.deadline) {
    return giveUp(record, GiveUpReason.Deadline);
  }
  if (record.failures >= maxFailures || !takeRetry()) {
    return giveUp(record, GiveUpReason.RetriesSpent);
  }
  return { kind: 'retry' };
}
