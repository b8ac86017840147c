import { Outcome } from '@apricotrill/policy';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
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
    { ...problem, title: 'The request could not be read', outcome: Outcome.NotRun },
    { step: 'receive', peer },
  );
}

function createTooLarge(request: IncomingMessage, { maxBodyBytes }: BodyLimits) {
  const detail = `the body is larger than ${maxBodyBytes} bytes`;
  return createBodyError(request, { reason: ProblemReason.TooLarge, status: 413, detail });
}

/** Collects one body; listens no longer than it must. */
class BodyReader {
  private readonly chunks: Buffer[] = [];

  private size = 0;

  private timer: Timer | undefined;

  private readonly request: IncomingMessage;

  private readonly limits: BodyLimits;

  private readonly onEnd: (result: Buffer | ProblemError) => void;

  constructor(
    request: IncomingMessage,
    limits: BodyLimits,
    onEnd: (result: Buffer | ProblemError) => void,
  ) {
    this.request = request;
    this.limits = limits;
    this.onEnd = onEnd;
  }

  start(clock: Clock): void {
    const { request, limits } = this;
    this.timer = clock.setTimer(limits.bodyTimeout, () => {
      const detail = `the body did not arrive within ${limits.bodyTimeout} ms`;
      this.fail({ reason: ProblemReason.SlowBody, status: 408, detail });
    });
    request.on('data', this.take);
    request.once('end', this.finish);
    request.once('error', this.cutOff);
  }

  private readonly take = (chunk: Buffer) => {
    this.size += chunk.length;
    this.chunks.push(chunk);
    if (this.size > this.limits.maxBodyBytes) {
      this.end(createTooLarge(this.request, this.limits));
    }
  };

  private readonly finish = () => this.end(Buffer.concat(this.chunks));

  private readonly cutOff = () =>
    this.fail({ reason: ProblemReason.Malformed, status: 400, detail: 'the body was cut off' });

  private fail(problem: Pick<Problem, 'reason' | 'status' | 'detail'>): void {
    this.end(createBodyError(this.request, problem));
  }

  private end(result: Buffer | ProblemError): void {
    this.timer?.cancel();
    this.request.off('data', this.take);
    this.request.off('end', this.finish);
    this.request.off('error', this.cutOff);
    this.onEnd(result);
  }
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
  if (Number(request.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
    return Promise.reject(createTooLarge(request, limits));
  }
  return new Promise((resolve, reject) => {
    const settle = (result: Buffer | ProblemError) =>
      Buffer.isBuffer(result) ? resolve(result) : reject(result);
    new BodyReader(request, limits, settle).start(clock);
  });
}
