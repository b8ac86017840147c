import type { Milliseconds } from '@apricotrill/utils';
import { StepError } from '@apricotrill/utils';
import { Agent } from 'undici';

/** A whole answer. */
export interface HttpAnswer {
  status: number;
  text: string;
}

/** A call to the store or to a replica's own interface. */
export interface HttpCall {
  /** Names the call in errors. */
  step: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** IP address and port. */
  address: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** The whole call ends by then. */
  timeout: Milliseconds;
  signal?: AbortSignal;
}

/** Opening a connection takes milliseconds; a lost opening packet is sent again after a second. */
const CONNECT_TIMEOUT: Milliseconds = 500;

/** Shorter than any of the peers keeps a connection that rests. */
const IDLE_TIMEOUT: Milliseconds = 3_000;

/**
 * Calls over HTTP; each ends in a whole answer or in an error, and in time. A call that got no
 * answer takes its connection with it, since that may have gone silent for good.
 */
export class HttpCaller {
  private readonly agent = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT,
    connect: { timeout: CONNECT_TIMEOUT },
  });

  /** @throws StepError when no whole answer came in time */
  async call(call: HttpCall): Promise<HttpAnswer> {
    const { step, method, address, path, headers, body, timeout, signal } = call;
    const late = AbortSignal.timeout(timeout);
    try {
      const response = await this.agent.request({
        origin: `http://${address}`,
        path,
        method,
        body: body ?? null,
        headers: {
          ...headers,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        signal: signal === undefined ? late : AbortSignal.any([late, signal]),
      });
      return { status: response.statusCode, text: await response.body.text() };
    } catch (cause) {
      const message = cause instanceof Error ? cause.message : String(cause);
      throw new StepError(message, { step, peer: address, cause });
    }
  }

  async dispose(): Promise<void> {
    await this.agent.destroy();
  }
}

/** Reads a JSON answer. @throws StepError when it is none */
export function parseJson(text: string, step: string, peer: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new StepError('the answer is no JSON', { step, peer, cause });
  }
}
