import { Outcome } from '@apricotrill/policy';
import { randomUUID } from 'node:crypto';
import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';
import { getProblemBody } from './writeProblem.js';

const MALFORMED = {
  reason: ProblemReason.Malformed,
  status: 400,
  detail: 'what came is not a whole HTTP request',
};

/** What callers are told, by the code of the HTTP parser. */
const BY_CODE: Record<string, Pick<Problem, 'reason' | 'status' | 'detail'>> = {
  HPE_HEADER_OVERFLOW: {
    reason: ProblemReason.TooLarge,
    status: 431,
    detail: 'the head of the request is too large',
  },
  ERR_HTTP_REQUEST_TIMEOUT: {
    reason: ProblemReason.SlowBody,
    status: 408,
    detail: 'the head of the request did not arrive in time',
  },
};

/**
 * Answers bytes that never became a request, and ends their connection. Nothing of them ran.
 *
 * @param socket - where they came
 * @param error - what the HTTP parser says of them
 * @example
 * ```ts
 * server.on('clientError', (error, socket) => refuseConnection(socket, error));
 * ```
 * @internal
 */
export function refuseConnection(socket: Socket, error: NodeJS.ErrnoException): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const known = BY_CODE[error.code ?? ''] ?? MALFORMED;
  const problem = { ...known, title: 'The request could not be read', outcome: Outcome.NotRun };
  const body = JSON.stringify(getProblemBody(problem, randomUUID()));
  const head = [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status]}`,
    'connection: close',
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
}
