import { AttemptStatus } from '@apricotrill/policy';
import { defaultRouterOptions } from '../options.js';
import type { ResponseHead, ResponseReader } from './ResponseReader.js';
import type { AttemptResult } from './Attempt.js';
import { ErrorResponseReader } from './ErrorResponseReader.js';

/**
 * A complete response of a plain service.
 *
 * @internal
 */
export interface PlainResponse {
  status: number;
  contentType: string;
  body: Buffer;
}

const MIN_SERVER_ERROR_STATUS = 500;

/**
 * Reads the response of a plain service. The response is buffered until it is complete, so that a
 * connection that breaks midway causes a retry instead of a truncated response.
 *
 * @internal
 */
export class PlainResponseReader implements ResponseReader {
  private readonly attemptId: string;

  private readonly onResponse: (response: PlainResponse) => void;

  private readonly chunks: Uint8Array[] = [];

  private size = 0;

  private head: ResponseHead | undefined;

  private errorReader: ErrorResponseReader | undefined;

  /**
   * @param attemptId - the id expected in `x-request-id`, if the service sends that header
   * @param onResponse - called with the complete response
   */
  constructor(attemptId: string, onResponse: (response: PlainResponse) => void) {
    this.attemptId = attemptId;
    this.onResponse = onResponse;
  }

  onHead(head: ResponseHead): AttemptResult | undefined {
    const { headers, status } = head;
    const id = headers['x-request-id'];
    if (id !== undefined && id !== this.attemptId) {
      return { end: AttemptStatus.Broken, detail: 'the response belongs to another request' };
    }
    this.head = head;
    if (headers['x-outcome'] === 'not-run' || status >= MIN_SERVER_ERROR_STATUS) {
      this.errorReader = new ErrorResponseReader();
      return this.errorReader.onHead(head);
    }
    return undefined;
  }

  onBody(bytes: Buffer): AttemptResult | undefined {
    if (this.errorReader !== undefined) {
      return this.errorReader.onBody(bytes);
    }
    this.size += bytes.length;
    this.chunks.push(bytes);
    return this.size > defaultRouterOptions.maxPlainResponseBytes
      ? { end: AttemptStatus.Errored, status: this.head?.status, detail: 'the answer is too large' }
      : undefined;
  }

  onEnd(): AttemptResult {
    if (this.errorReader !== undefined) {
      return this.errorReader.onEnd();
    }
    const { status, headers } = this.head!;
    const contentType = headers['content-type'] ?? 'application/octet-stream';
    this.onResponse({ status, contentType, body: Buffer.concat(this.chunks) });
    return { end: AttemptStatus.Completed, status, detail: 'whole' };
  }

  onConnectionLost(): AttemptResult | undefined {
    return this.errorReader?.onConnectionLost();
  }
}
