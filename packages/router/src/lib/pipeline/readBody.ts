import { readBody as readBodyWithinLimits } from '@apricotrill/callers';
import { ExecutionOutcome } from '@apricotrill/policy';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';
import { ProblemError, ProblemReason } from './Problem.js';
import type { Problem } from './Problem.js';

/**
 * Limits on the body of a caller's request.
 *
 * @internal
 */
export interface BodyLimits {
  maxBodyBytes: number;
  bodyTimeout: Milliseconds;
}

function createReadError(
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
 * Reads the whole body, within limits on its size and duration.
 *
 * @param request - the caller's request
 * @param limits - the maximum size in bytes and the timeout in milliseconds
 * @param clock - the time source
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
  const result = await readBodyWithinLimits(
    request,
    { maxBytes: maxBodyBytes, timeout: bodyTimeout },
    clock,
  );
  switch (result.kind) {
    case 'whole':
      return result.body ?? Buffer.alloc(0);
    case 'too-large':
      throw createReadError(request, {
        reason: ProblemReason.TooLarge,
        status: 413,
        detail: `the body is larger than ${maxBodyBytes} bytes`,
      });
    case 'too-slow':
      throw createReadError(request, {
        reason: ProblemReason.SlowBody,
        status: 408,
        detail: `the body did not arrive within ${bodyTimeout} ms`,
      });
    case 'cut':
      throw createReadError(request, {
        reason: ProblemReason.Malformed,
        status: 400,
        detail: 'the body was cut off',
      });
    default:
      return result satisfies never;
  }
}
