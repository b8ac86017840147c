import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { IncomingMessage } from 'node:http';

/** What a caller may send. */
export interface BodyLimits {
  maxBytes: number;
  /** How long the whole body may take. */
  timeout: Milliseconds;
}

/** What became of reading a body. */
export type BodyResult =
  /** No bytes, where the head promises none. */
  | { kind: 'whole'; body: Buffer | undefined }
  | { kind: 'too-large' }
  | { kind: 'too-slow' }
  /** The caller left in the middle. */
  | { kind: 'cut' };

function isExpected({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Collects one body; listens no longer than it must. */
class BodyReader {
  private readonly chunks: Buffer[] = [];

  private size = 0;

  private timer: Timer | undefined;

  constructor(
    private readonly request: IncomingMessage,
    private readonly limits: BodyLimits,
    private readonly onResult: (result: BodyResult) => void,
  ) {}

  start(clock: Clock): void {
    const { request, limits } = this;
    this.timer = clock.setTimer(limits.timeout, () => this.end({ kind: 'too-slow' }));
    request.on('data', this.take);
    request.once('end', this.finish);
    request.once('close', this.cut);
    request.once('error', this.cut);
  }

  private readonly take = (chunk: Buffer) => {
    this.size += chunk.length;
    this.chunks.push(chunk);
    if (this.size > this.limits.maxBytes) {
      this.end({ kind: 'too-large' });
    }
  };

  private readonly finish = () => {
    const body = isExpected(this.request) ? Buffer.concat(this.chunks) : undefined;
    this.end({ kind: 'whole', body });
  };

  private readonly cut = () => this.end({ kind: 'cut' });

  private end(result: BodyResult): void {
    this.timer?.cancel();
    this.request.off('data', this.take);
    this.request.off('end', this.finish);
    this.request.off('close', this.cut);
    this.request.off('error', this.cut);
    // A request without a listener for errors would end the process with the next one.
    this.request.on('error', () => undefined);
    this.onResult(result);
  }
}

/**
 * Reads the whole body, within its bounds. A body that is too large, too slow or cut off ends its
 * own request and nothing else: without the time bound, callers that send a byte now and then
 * would hold sockets and memory for ever.
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
