import type { ServerResponse } from 'node:http';
import type { Problem } from './Problem.js';

const MILLISECONDS_PER_SECOND = 1000;

/**
 * The body of a problem as RFC 9457 writes it.
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
    const seconds = Math.max(1, Math.ceil(problem.retryAfter / MILLISECONDS_PER_SECOND));
    response.setHeader('retry-after', String(seconds));
  }
  response.end(body);
}
