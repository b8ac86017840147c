import type { IncomingHttpHeaders } from 'node:http';
import type { AttemptResult } from './Attempt.js';

/**
 * The status and headers of a replica's response.
 *
 * @internal
 */
export interface ResponseHead {
  status: number;
  headers: IncomingHttpHeaders;
  /** Whether the end of the connection is the only sign of the end of the response. */
  endsWithConnection: boolean;
}

/**
 * Reads the response of one attempt as it arrives. Each method may return how the attempt ended;
 * nothing that arrives after that is read.
 *
 * @internal
 */
export interface ResponseReader {
  onHead(head: ResponseHead): AttemptResult | undefined;
  onBody(bytes: Buffer): AttemptResult | undefined;
  /** The last byte has arrived. The result may have to be confirmed first; it never rejects. */
  onEnd(): AttemptResult | Promise<AttemptResult>;
  /** The connection was lost. Returns a result if the part received so far proves one. */
  onConnectionLost(detail: string): AttemptResult | undefined;
}

/**
 * Flow control of the connection that a reader reads from.
 *
 * @internal
 */
export interface ResponseFlow {
  /** The response has progressed: restarts the silence timeout. */
  recordProgress(): void;
  /**
   * Stops reading until the promise resolves; the silence timeout is suspended meanwhile. What has been read
   * before is still passed on. Must not be called again until then.
   */
  pauseUntil(ready: Promise<void>): void;
}
