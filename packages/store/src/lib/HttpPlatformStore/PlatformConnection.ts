import type { Milliseconds } from '@apricotrill/utils';
import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher, Pool } from 'undici';
import { StoreUnavailableError } from '../PlatformStore.js';
import { defaultHttpPlatformOptions } from './HttpPlatformOptions.js';
import type { HttpPlatformOptions, HttpPlatformSettings } from './HttpPlatformOptions.js';
import { RenewablePool } from './RenewablePool.js';

/** A request to the platform. */
export interface PlatformRequest {
  /** The name of the request in errors. */
  step: string;
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** How long the platform may hold the request before it responds; absent for most requests. */
  wait?: Milliseconds;
  signal?: AbortSignal;
}

/** A complete response. */
export interface PlatformResponse {
  status: number;
  /** The version in the response's ETag. */
  version: number | undefined;
  text: string;
  /** Whether a length or a last chunk proves that the text is whole. */
  isProved: boolean;
}

const FIRST_SERVER_ERROR = 500;

const TOO_MANY_REQUESTS = 429;

/** The end of a connection proves nothing, since that of a process that crashed ends in the same way. */
function isProved(headers: IncomingHttpHeaders): boolean {
  const coding = headers['transfer-encoding'];
  return coding === undefined
    ? headers['content-length'] !== undefined
    : String(coding).split(',').at(-1)!.trim().toLowerCase() === 'chunked';
}

function getVersion(etag: string | string[] | undefined): number | undefined {
  const digits = /^"(\d+)"$/.exec(String(etag))?.[1];
  return digits === undefined ? undefined : Number(digits);
}

/** Sends requests to the platform; each ends with a complete response or an error in time. */
export class PlatformConnection {
  readonly options: HttpPlatformOptions;

  readonly peer: string;

  private readonly requestPool: RenewablePool;

  /** A separate pool, because watches occupy a connection for long and would delay requests. */
  private readonly watchPool: RenewablePool;

  private readonly bytes = { sent: 0, received: 0 };

  constructor(settings: HttpPlatformSettings) {
    this.options = { ...defaultHttpPlatformOptions, ...settings };
    this.peer = new URL(this.options.url).host;
    this.requestPool = new RenewablePool(this.options.url, this.options.maxConnections);
    this.watchPool = new RenewablePool(this.options.url, null);
  }

  /**
   * @throws StoreUnavailableError when no complete response arrived in time, or the status says
   *   that the platform cannot serve the request now
   */
  async request(request: PlatformRequest): Promise<PlatformResponse> {
    const response = await this.requestWithTimeout(request);
    if (response.status >= FIRST_SERVER_ERROR || response.status === TOO_MANY_REQUESTS) {
      throw this.createError(request.step, `status ${response.status}`);
    }
    return response;
  }

  /**
   * Parses a JSON response with a list of objects in one field.
   *
   * @throws StoreUnavailableError when it is truncated or something else, for example from an intermediary
   */
  parseList<Entry extends object>(
    step: string,
    response: PlatformResponse,
    field: string,
  ): Entry[] {
    const list = (this.parse(step, response) as Record<string, unknown> | null)?.[field];
    if (
      !Array.isArray(list) ||
      !list.every((entry) => typeof entry === 'object' && entry !== null)
    ) {
      throw this.createError(step, `the response has no list of ${field}`);
    }
    return list as Entry[];
  }

  createError(step: string, message: string, cause?: unknown): StoreUnavailableError {
    return new StoreUnavailableError(message, { step, peer: this.peer, cause });
  }

  /** How often the connections were replaced because a request got no response. */
  getRenewals(): number {
    return this.requestPool.getRenewals() + this.watchPool.getRenewals();
  }

  /** Bytes of the bodies sent and received. */
  getBytes(): { sent: number; received: number } {
    return { ...this.bytes };
  }

  async dispose(): Promise<void> {
    await Promise.all([this.requestPool.dispose(), this.watchPool.dispose()]);
  }

  private parse(step: string, response: PlatformResponse): unknown {
    try {
      return JSON.parse(response.text);
    } catch (cause) {
      throw this.createError(step, 'the response is not valid JSON', cause);
    }
  }

  private async requestWithTimeout(request: PlatformRequest): Promise<PlatformResponse> {
    const controller = new AbortController();
    const abort = () => controller.abort(this.createError(request.step, 'aborted by the caller'));
    if (request.signal?.aborted) {
      abort();
    }
    request.signal?.addEventListener('abort', abort, { once: true });
    const renewablePool = request.wait === undefined ? this.requestPool : this.watchPool;
    const pool = renewablePool.getPool();
    const timer = this.options.clock.setTimer(this.options.timeout + (request.wait ?? 0), () => {
      renewablePool.renew(pool);
      controller.abort(this.createError(request.step, 'no response in time'));
    });
    try {
      return await this.send(pool, request, controller.signal);
    } catch (error) {
      throw this.getStoreError(request.step, error);
    } finally {
      timer.cancel();
      request.signal?.removeEventListener('abort', abort);
    }
  }

  private async send(
    pool: Pool,
    request: PlatformRequest,
    signal: AbortSignal,
  ): Promise<PlatformResponse> {
    const { method, path, headers, body } = request;
    this.bytes.sent += Buffer.byteLength(body ?? '');
    const options: Dispatcher.RequestOptions = {
      method,
      path,
      headers,
      body: body ?? null,
      signal,
    };
    const response = await pool.request(options);
    const text = await response.body.text();
    this.bytes.received += Buffer.byteLength(text);
    const { statusCode: status, headers: responseHeaders } = response;
    const version = getVersion(responseHeaders.etag);
    return { status, version, text, isProved: isProved(responseHeaders) };
  }

  private getStoreError(step: string, error: unknown): StoreUnavailableError {
    if (error instanceof StoreUnavailableError) {
      return error;
    }
    const message = error instanceof Error ? error.message : String(error);
    return this.createError(step, message, error);
  }
}
