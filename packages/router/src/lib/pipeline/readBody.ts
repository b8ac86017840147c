import { readBody as readWithin } from '@apricotrill/callers';
import { ExecutionOutcome } from '@apricotrill/policy';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import { ProblemError, ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';

/**
 * What a caller may send.
 *
 * @internal
 */
export interface BodyLimits {
  maxBodyBytes: number;
  bodyTimeout: Milliseconds;
}

function createBodyError(
  request: IncomingMessage,
  problem: Pick<Problem, 'reason' | 'status' | 'detail'>,
) {
  const peer = request.socket.remoteAddress ?? 'caller';
  return new ProblemError(
    { ...problem, title: 'The request could not be read', outcome: ExecutionOutcome.NotRun },
    { step: 'receive', peer },
  );
}

/**
 * Reads the whole body, within its bounds.
 *
 * @param request - the caller's request
 * @param limits - bounds in bytes and milliseconds
 * @param clock - where time comes from
 * @throws ProblemError 413, 408 or 400
 * @example
 * ```ts
 * const body = await readBody(request, { maxBodyBytes: 1048576, bodyTimeout: 10000 }, clock);
 * ```
 * @internal
 */
export async function readBody(
  request: IncomingMessage,
  { maxBodyBytes, bodyTimeout }: BodyLimits,
  clock: Clock,
): Promise<Buffer> {
  const result = await readWithin(request, { maxBytes: maxBodyBytes, timeout: bodyTimeout }, clock);
  switch (result.kind) {
    case 'whole':
      return result.body ?? Buffer.alloc(0);
    case 'too-large':
      throw createBodyError(request, {
        reason: ProblemReason.TooLarge,
        status: 413,
        detail: `the body is larger than ${maxBodyBytes} bytes`,
      });
    case 'too-slow':
      throw createBodyError(request, {
        reason: ProblemReason.SlowBody,
        status: 408,
        detail: `the body did not arrive within ${bodyTimeout} ms`,
      });
    case 'cut':
      throw createBodyError(request, {
        reason: ProblemReason.Malformed,
        status: 400,
        detail: 'the body was cut off',
      });
    default:
      return result satisfies never;
  }
}
