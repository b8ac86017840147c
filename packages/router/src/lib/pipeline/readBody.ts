import { Outcome } from '@apricotrill/policy';
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

function createBodyError(request: IncomingMessage, problem: Omit<Problem, 'outcome' | 'title'>) {
  const peer = request.socket.remoteAddress ?? 'caller';
  return new ProblemError(
    { ...problem, title: 'The request could not be read', outcome: Outcome.NotRun },
    { step: 'receive', peer },
  );
}

/**
 * Reads the whole body, within its bounds. A body that is too large, too slow or cut off ends its
 * own request and nothing else: without the time bound, callers that send a byte now and then
 * would hold sockets and memory for ever.
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
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<Buffer> {
  const tooLarge = () =>
    createBodyError(request, {
      reason: ProblemReason.TooLarge,
      status: 413,
      detail: `the body is larger than ${limits.maxBodyBytes} bytes`,
    });
  if (Number(request.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
    return Promise.reject(tooLarge());
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = clock.setTimer(limits.bodyTimeout, () => {
      const detail = `the body did not arrive within ${limits.bodyTimeout} ms`;
      reject(createBodyError(request, { reason: ProblemReason.SlowBody, status: 408, detail }));
    });
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBodyBytes) {
        timer.cancel();
        request.pause();
        reject(tooLarge());
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => {
      timer.cancel();
      resolve(Buffer.concat(chunks));
    });
    request.once('error', () => {
      timer.cancel();
      const detail = 'the body was cut off';
      reject(createBodyError(request, { reason: ProblemReason.Malformed, status: 400, detail }));
    });
  });
}
