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
 * Settings of a {@link PlainResponseReader}.
 *
 * @internal
 */
export interface PlainResponseReaderSettings {
  /** The id expected in `x-request-id`, if the service sends that header. */
  attemptId: string;
  /** Asks whether the process of the replica still runs; never rejects. */
  isReplicaAlive: () => Promise<boolean>;
  /** Called with the complete response. */
  onResponse: (response: PlainResponse) => void;
}

/**
 * Reads the response of a plain service. The response is buffered until it is complete, so that a
 * connection that breaks midway causes a retry instead of a truncated response. A response that ends
 * with its connection is complete only if its replica still runs: the operating system closes the
 * connections of a process that crashes in the same way.
 *
 * @internal
 */
export class PlainResponseReader implements ResponseReader {
  private readonly settings: PlainResponseReaderSettings;

  private readonly chunks: Uint8Array[] = [];

  private size = 0;

  private head: ResponseHead | undefined;

  private errorReader: ErrorResponseReader | undefined;

  constructor(settings: PlainResponseReaderSettings) {
    this.settings = settings;
  }

  onHead(head: ResponseHead): AttemptResult | undefined {
    const { headers, status } = head;
    const id = headers['x-request-id'];
    if (id !== undefined && id !== this.settings.attemptId) {
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

  onEnd(): AttemptResult | Promise<AttemptResult> {
    if (this.errorReader !== undefined) {
      return this.errorReader.onEnd();
    }
    return this.head!.endsWithConnection ? this.confirm() : this.complete();
  }

  onConnectionLost(): AttemptResult | undefined {
    return this.errorReader?.onConnectionLost();
  }

  private async confirm(): Promise<AttemptResult> {
    return (await this.settings.isReplicaAlive())
      ? this.complete()
      : {
          end: AttemptStatus.Broken,
          detail: 'the response ended with its connection, and its replica no longer answers',
        };
  }

  private complete(): AttemptResult {
    const { status, headers } = this.head!;
    const contentType = headers['content-type'] ?? 'application/octet-stream';
    this.settings.onResponse({ status, contentType, body: Buffer.concat(this.chunks) });
    return { end: AttemptStatus.Completed, status, detail: 'whole' };
  }
}
