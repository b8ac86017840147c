import { ExecutionOutcome } from '@apricotrill/policy';
import type { IncomingMessage } from 'node:http';
import { ProblemError } from './Problem.js';

/**
 * The error for a request that is refused before its `Idempotency-Key` was looked up, for example
 * since this daemon has no configuration yet or the caller's API key was replaced. This request was
 * not run, but an earlier one of the same key may be running at another daemon: told "not run", its
 * caller places the order again under a new key, and has two. So it is told that nobody here knows.
 *
 * @param error - why it is refused
 * @param request - the request, for its key
 * @example
 * ```ts
 * throw getErrorInDoubt(error, request);
 * ```
 * @internal
 */
export function getErrorInDoubt(error: unknown, request: IncomingMessage): unknown {
  const isKeyed = request.headers['idempotency-key'] !== undefined;
  if (
    !isKeyed ||
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
