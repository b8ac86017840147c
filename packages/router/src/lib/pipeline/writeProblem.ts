import type { Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from './Problem.js';

const MILLISECONDS_PER_SECOND = 1000;

function getRetryAfterSeconds(retryAfter: Milliseconds): number {
  return Math.max(1, Math.ceil(retryAfter / MILLISECONDS_PER_SECOND));
}

/**
 * Creates the body of a problem document (RFC 9457), extended by `outcome` and, in seconds,
 * `retryAfter`: a problem within a stream comes too late for a header.
 *
 * @example
 * ```ts
 * response.end(JSON.stringify(getProblemBody(problem, requestId)));
 * ```
 * @internal
 */
export function getProblemBody(problem: Problem, requestId: string): Record<string, unknown> {
  return {
    type: `urn:apricotrill:problem:${problem.reason}`,
    title: problem.title,
    status: problem.status,
    detail: problem.detail,
    outcome: problem.outcome,
    instance: requestId,
    retryAfter:
      problem.retryAfter === undefined ? undefined : getRetryAfterSeconds(problem.retryAfter),
  };
}

/**
 * Responds with a problem document, unless a response has already been started.
 *
 * @param response - the caller's response
 * @param problem - the problem to report
 * @param requestId - the id of the request, by which operators find its log lines
 * @example
 * ```ts
 * writeProblem(response, error.problem, requestId);
 * ```
 * @internal
 */
export function writeProblem(response: ServerResponse, problem: Problem, requestId: string): void {
  if (response.headersSent || response.destroyed) {
    return;
  }
  const body = JSON.stringify(getProblemBody(problem, requestId));
  response.statusCode = problem.status;
  response.setHeader('content-type', 'application/problem+json');
  response.setHeader('content-length', Buffer.byteLength(body));
  response.setHeader('x-request-id', requestId);
  if (problem.retryAfter !== undefined) {
    response.setHeader('retry-after', String(getRetryAfterSeconds(problem.retryAfter)));
  }
  response.end(body);
}
