import type { Milliseconds } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import type { Problem } from './Problem.js';

const MILLISECONDS_PER_SECOND = 1000;

function getSeconds(retryAfter: Milliseconds): number {
  return Math.max(1, Math.ceil(retryAfter / MILLISECONDS_PER_SECOND));
}

/**
 * The body of a problem as RFC 9457 writes it, with `outcome` and, in seconds, `retryAfter`: a
 * problem within a stream comes too late for a header.
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
    retryAfter: problem.retryAfter === undefined ? undefined : getSeconds(problem.retryAfter),
  };
}

/**
 * Answers with a problem document; does nothing when an answer has begun.
 *
 * @param response - the caller's response
 * @param problem - what to say
 * @param requestId - the request, so that operators find its log lines
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
    response.setHeader('retry-after', String(getSeconds(problem.retryAfter)));
  }
  response.end(body);
}
