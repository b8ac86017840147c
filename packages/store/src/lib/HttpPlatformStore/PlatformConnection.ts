import type { Milliseconds } from '@apricotrill/utils';
import type { Dispatcher, Pool } from 'undici';
import { StoreUnavailableError } from '../PlatformStore.js';
import { defaultHttpPlatformOptions } from './HttpPlatformOptions.js';
import type { HttpPlatformOptions, HttpPlatformSettings } from './HttpPlatformOptions.js';
import { RenewablePool } from './RenewablePool.js';

/** A call to the platform. */
export interface PlatformCall {
  /** Names the call in errors. */
  step: string;
  method: 'GET' | 'PUT' | 'DELETE';
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Present when the platform holds the call that long before it answers. */
  wait?: Milliseconds;
  signal?: AbortSignal;
}

/** A whole answer. */
export interface PlatformAnswer {
  status: number;
  /** The version that the answer's ETag names. */
  version: number | undefined;
  text: string;
}

const FIRST_SERVER_ERROR = 500;

const TOO_MANY_REQUESTS = 429;

function getVersion(etag: string | string[] | undefined): number | undefined {
  const digits = /^"(\d+)"$/.exec(String(etag))?.[1];
  return digits === undefined ? undefined : Number(digits);
}

/** Calls the platform over HTTP; each call ends in a whole answer or in an error, and in time. */
export class PlatformConnection {
  readonly options: HttpPlatformOptions;

  readonly peer: string;

  private readonly calls: RenewablePool;

  /** Watches wait long; on the connections of the calls they would keep the calls waiting too. */
  private readonly watches: RenewablePool;

  private readonly bytes = { sent: 0, received: 0 };

  constructor(setup: HttpPlatformSettings) {
    this.options = { ...defaultHttpPlatformOptions, ...setup };
    this.peer = new URL(this.options.url).host;
    this.calls = new RenewablePool(this.options.url, this.options.connections);
    this.watches = new RenewablePool(this.options.url, null);
  }

  /**
   * @throws StoreUnavailableError when no whole answer came in time, or the platform says that it
   *   can't serve the call now
   */
  async call(call: PlatformCall): Promise<PlatformAnswer> {
    const answer = await this.callWithTimeout(call);
    if (answer.status >= FIRST_SERVER_ERROR || answer.status === TOO_MANY_REQUESTS) {
      throw this.createError(call.step, `answered ${answer.status}`);
    }
    return answer;
  }

  /** Reads a JSON answer. @throws StoreUnavailableError when it is cut or no JSON */
  parse<Content>(step: string, answer: PlatformAnswer): Content {
    try {
      return JSON.parse(answer.text) as Content;
    } catch (cause) {
      throw this.createError(step, 'the answer is no JSON', cause);
    }
  }

  createError(step: string, message: string, cause?: unknown): StoreUnavailableError {
    return new StoreUnavailableError(message, { step, peer: this.peer, cause });
  }

  /** How often connections were replaced because a call on them got no answer. */
  getRenewals(): number {
    return this.calls.getRenewals() + this.watches.getRenewals();
  }

  /** Bytes of the bodies sent and received. */
  getBytes(): { sent: number; received: number } {
    return { ...this.bytes };
  }

  async dispose(): Promise<void> {
    await Promise.all([this.calls.dispose(), this.watches.dispose()]);
  }

  private async callWithTimeout(call: PlatformCall): Promise<PlatformAnswer> {
    const abort = new AbortController();
    const give = () => abort.abort(this.createError(call.step, 'abandoned by the caller'));
    if (call.signal?.aborted) {
      give();
    }
    call.signal?.addEventListener('abort', give, { once: true });
    const pools = call.wait === undefined ? this.calls : this.watches;
    const pool = pools.getPool();
    const timer = this.options.clock.setTimer(this.options.timeout + (call.wait ?? 0), () => {
      pools.renew(pool);
      abort.abort(this.createError(call.step, 'no answer in time'));
    });
    try {
      return await this.send(pool, call, abort.signal);
    } catch (error) {
      throw this.getError(call.step, error);
    } finally {
      timer.cancel();
      call.signal?.removeEventListener('abort', give);
    }
  }

  private async send(pool: Pool, call: PlatformCall, signal: AbortSignal): Promise<PlatformAnswer> {
    const { method, path, headers, body } = call;
    this.bytes.sent += Buffer.byteLength(body ?? '');
    const request: Dispatcher.RequestOptions = {
      method,
      path,
      headers,
      body: body ?? null,
      signal,
    };
    const response = await pool.request(request);
    const text = await response.body.text();
    this.bytes.received += Buffer.byteLength(text);
    const version = getVersion(response.headers.etag);
    return { status: response.statusCode, version, text };
  }

  private getError(step: string, error: unknown): StoreUnavailableError {
    if (error instanceof StoreUnavailableError) {
      return error;
    }
    const message = error instanceof Error ? error.message : String(error);
    return this.createError(step, message, error);
  }
}
