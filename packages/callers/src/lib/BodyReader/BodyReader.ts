import { ByteCollector } from '@apricotrill/utils';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';

/** Limits for the body of a request. */
export interface BodyLimits {
  maxBytes: number;
  /** Timeout for the complete body. */
  timeout: Milliseconds;
}

/** The result of reading a body. */
export type BodyResult =
  /** `body` is undefined if the headers announce none. */
  | { kind: 'whole'; body: Buffer | undefined }
  | { kind: 'too-large' }
  | { kind: 'too-slow' }
  /** The caller disconnected before the body was complete. */
  | { kind: 'cut' };

function hasBody({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Collects one body, and removes its listeners when it is done. */
class BodyReader {
  private readonly collector: ByteCollector;

  private timer: Timer | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly onResult: (result: BodyResult) => void,
  ) {
    this.collector = new ByteCollector(Number(request.headers['content-length'] ?? 0));
  }

  start(clock: Clock): void {
    const { request, limits } = this;
    this.timer = clock.setTimer(limits.timeout, () => this.complete({ kind: 'too-slow' }));
    request.on('data', this.handleData);
    request.once('end', this.handleEnd);
    request.once('close', this.handleClose);
    request.once('error', this.handleClose);
  }

  private readonly handleData = (chunk: Buffer) => {
    if (this.collector.length + chunk.length > this.limits.maxBytes) {
      this.complete({ kind: 'too-large' });
      return;
    }
    this.collector.append(chunk);
  };

  private readonly handleEnd = () => {
    const body = hasBody(this.request) ? this.collector.take() : undefined;
    this.complete({ kind: 'whole', body });
  };

  private readonly handleClose = () => this.complete({ kind: 'cut' });

  private complete(result: BodyResult): void {
    this.timer?.cancel();
    this.collector.discard();
    this.request.off('data', this.handleData);
    this.request.off('end', this.handleEnd);
    this.request.off('close', this.handleClose);
    this.request.off('error', this.handleClose);
    // Without an error listener, a later error event of the request would crash the process.
    this.request.on('error', () => undefined);
    this.onResult(result);
  }
}

/**
 * Reads a complete body within its limits. A body that is too large, too slow or cut off affects
 * only its own request. Without the timeout, callers that send a byte from time to time would
 * occupy sockets and memory forever.
 *
 * @example
 * ```ts
 * const result = await readBody(request, { maxBytes: 1_048_576, timeout: 10_000 }, clock);
 * ```
 * @public
 */
export function readBody(
  request: IncomingMessage,
  limits: BodyLimits,
  clock: Clock,
): Promise<BodyResult> {
  if (Number(request.headers['content-length'] ?? 0) > limits.maxBytes) {
    return Promise.resolve({ kind: 'too-large' });
  }
  return new Promise((resolve) => {
    new BodyReader(request, limits, resolve).start(clock);
  });
}
