import { ExecutionOutcome } from '@apricotrill/policy';
import type { IncomingMessage } from 'node:http';
import { ProblemError } from './Problem.js';

/**
 * Changes the outcome of an error from "not run" to "unknown" if the request has an
 * `Idempotency-Key`. Used for requests rejected before their key is looked up, for example because
 * this daemon has no configuration yet or the caller's API key was replaced. The request itself was
 * not run, but an earlier one with the same key may be running at another daemon. A caller that is
 * told "not run" sends the request again with a new key, so that it may run twice.
 *
 * @param error - the reason for the rejection
 * @param request - the rejected request
 * @example
 * ```ts
 * throw markOutcomeUnknown(error, request);
 * ```
 * @internal
 */
export function markOutcomeUnknown(error: unknown, request: IncomingMessage): unknown {
  const hasIdempotencyKey = request.headers['idempotency-key'] !== undefined;
  if (
    !hasIdempotencyKey ||
    !(error instanceof ProblemError) ||
    error.problem.outcome !== ExecutionOutcome.NotRun
  ) {
    return error;
  }
  const { problem, step, peer } = error;
  return new ProblemError(
    { ...problem, outcome: ExecutionOutcome.Unknown },
    { step, peer, cause: error },
  );
}
