import type { Milliseconds } from '@apricotrill/utils';
import { AttemptStatus, GiveUpReason, ExecutionOutcome } from '../messages.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * What follows an attempt that ended.
 *
 * @internal
 */
export type NextStep =
  | { kind: 'done' }
  | { kind: 'retry' }
  | { kind: 'give-up'; outcome: ExecutionOutcome; reason: GiveUpReason };

/**
 * What the decision rests on besides the request.
 *
 * @internal
 */
export interface StepContext {
  end: AttemptStatus;
  /** The scheduler ended the attempt for reasons of its own: that counts as no failure. */
  isOwnCancel: boolean;
  now: Milliseconds;
  maxFailures: number;
  /** Takes a retry from the service's budget. */
  takeRetry: () => boolean;
}

function giveUp(record: RequestRecord, reason: GiveUpReason): NextStep {
  return { kind: 'give-up', outcome: record.outcome, reason };
}

/**
 * Decides what follows an attempt. What may not be repeated is given up as unknown as soon as one
 * attempt may have run: a second one could charge a customer twice. What has begun its answer goes
 * on only if it can be resumed: from the start again, the caller would get its head twice.
 *
 * @param record - the request, after it noted the end
 * @param context - how the attempt ended and what may be spent on another
 * @internal
 */
export function getNextStep(record: RequestRecord, context: StepContext): NextStep {
  const { end, isOwnCancel, now, maxFailures, takeRetry } = context;
  if (end === AttemptStatus.Completed) {
    return { kind: 'done' };
  }
  if (end === AttemptStatus.Errored) {
    return {
      kind: 'give-up',
      outcome: ExecutionOutcome.Failed,
      reason: GiveUpReason.ReplicaFailed,
    };
  }
  if (record.hasMaybeRun && !record.request.serviceClass.repeatable) {
    return giveUp(record, GiveUpReason.MayHaveRun);
  }
  if (record.hasBegun && !record.canGoOn) {
    return giveUp(record, GiveUpReason.ReplicaFailed);
  }
  if (isOwnCancel) {
    return { kind: 'retry' };
  }
  if (!record.isUnderWay && now >= record.deadline) {
    return giveUp(record, GiveUpReason.Deadline);
  }
  if (record.failures >= maxFailures || !takeRetry()) {
    return giveUp(record, GiveUpReason.RetriesSpent);
  }
  return { kind: 'retry' };
}
