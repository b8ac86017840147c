import { GiveUpReason } from '@apricotrill/policy';
import type { SchedulerEffect } from '@apricotrill/policy';
import { ProblemReason } from '../pipeline/Problem.js';
import type { Problem } from '../pipeline/Problem.js';
import type { AttemptResult } from '../upstream/Attempt.js';

type GiveUpEffect = Extract<SchedulerEffect, { kind: 'give-up' }>;

const STATUS_BY_REASON: Record<GiveUpReason, number> = {
  [GiveUpReason.Deadline]: 503,
  [GiveUpReason.Overload]: 429,
  [GiveUpReason.NoReplica]: 503,
  [GiveUpReason.RetriesSpent]: 503,
  [GiveUpReason.MayHaveRun]: 502,
  [GiveUpReason.ReplicaFailed]: 502,
  [GiveUpReason.Draining]: 503,
};

const DETAIL_BY_REASON: Record<GiveUpReason, string> = {
  [GiveUpReason.Deadline]: 'the request can no longer start its answer in time',
  [GiveUpReason.Overload]: 'too many requests of this class are waiting',
  [GiveUpReason.NoReplica]: 'no replica of the service takes work at the moment',
  [GiveUpReason.RetriesSpent]: 'every attempt failed and no more are allowed',
  [GiveUpReason.MayHaveRun]:
    'the backend server may have run the request, and it may not be repeated',
  [GiveUpReason.ReplicaFailed]: 'the backend server ran the request and failed',
  [GiveUpReason.Draining]: 'this daemon is shutting down',
};

/** Statuses with which an engine reports that the request itself is invalid. */
const CALLER_ERROR_STATUSES = new Set([400, 413, 415, 422]);

/**
 * Creates the problem reported to the caller of a request that was given up.
 *
 * @param effect - the scheduler's decision
 * @param lastResult - how the last attempt ended; an error with which the engine rejected the request
 *   itself is passed on, since a retry would fail in the same way
 * @example
 * ```ts
 * execution.fail(getGiveUpProblem(effect, lastResult));
 * ```
 * @internal
 */
export function getGiveUpProblem(
  effect: GiveUpEffect,
  lastResult: AttemptResult | undefined,
): Problem {
  const { reason, outcome, retryAfter } = effect;
  if (reason === GiveUpReason.ReplicaFailed && CALLER_ERROR_STATUSES.has(lastResult?.status ?? 0)) {
    return {
      reason: ProblemReason.Malformed,
      status: lastResult!.status!,
      title: 'The backend server refused the request',
      detail: lastResult!.detail,
      outcome,
    };
  }
  return {
    reason: ProblemReason.GivenUp,
    status: STATUS_BY_REASON[reason],
    title: 'The request was given up',
    detail: DETAIL_BY_REASON[reason],
    outcome,
    retryAfter,
  };
}
