import type { Milliseconds } from '@apricotrill/utils';
import { StepError } from '@apricotrill/utils';
import { gunzipSync } from 'node:zlib';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { Watchdog } from './Watchdog.js';

/** A whole answer. */
export interface HttpResponse {
  status: number;
  text: string;
}

/** A call to the store or to a replica's own interface. */
export interface HttpRequest {
  /** Names the call in errors. */
  step: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** IP address and port. */
  address: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** The call fails when no byte of the answer came for so long. */
  timeout: Milliseconds;
  signal?: AbortSignal;
}

/** Opening a connection takes milliseconds; a lost opening packet is sent again after a second. */
const CONNECT_TIMEOUT: Milliseconds = 500;

/** Shorter than any of the peers keeps a connection that rests. */
const IDLE_TIMEOUT: Milliseconds = 3_000;

async function readBody(
  { headers, body }: Dispatcher.ResponseData,
  onProgress: () => void,
): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    onProgress();
    chunks.push(chunk as Buffer);
  }
  const bytes = Buffer.concat(chunks);
  return (headers['content-encoding'] === 'gzip' ? gunzipSync(bytes) : bytes).toString('utf8');
}

/**
 * Calls over HTTP; each ends in a whole answer or in an error, and in time. A call that got no
 * answer takes its connection with it, since that may have gone silent for good.
 */
export class HttpClient {
  private readonly agent = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
    keepAliveTimeout: IDLE_TIMEOUT,
    connect: { timeout: CONNECT_TIMEOUT },
  });

  /** @throws StepError when no whole answer came in time */
  async send(request: HttpRequest): Promise<HttpResponse> {
    const { step, method, address, path, headers, body, timeout, signal } = request;
    const watchdog = new Watchdog(timeout);
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
        signal: signal === undefined ? watchdog.signal : AbortSignal.any([watchdog.signal, signal]),
      });
      watchdog.noteProgress();
      const text = await readBody(response, () => watchdog.noteProgress());
      return { status: response.statusCode, text };
    } catch (cause) {
      const message = cause instanceof Error ? cause.message : String(cause);
      throw new StepError(message, { step, peer: address, cause });
    } finally {
      watchdog.end();
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
