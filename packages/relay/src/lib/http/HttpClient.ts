import type { Milliseconds } from '@apricotrill/utils';
import { ByteCollector, StepError } from '@apricotrill/utils';
import type { IncomingHttpHeaders } from 'node:http';
import { getHeapStatistics } from 'node:v8';
import { gunzipSync } from 'node:zlib';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { getHeapLimit } from '../memory/getHeapLimit.js';
import { connectInTime } from '../upstream/connectInTime.js';
import { getMaxTextBytes } from './getMaxTextBytes.js';
import { Watchdog } from './Watchdog.js';

/** A complete response. */
export interface HttpResponse {
  status: number;
  headers: IncomingHttpHeaders;
  text: string;
  /** Time from the head of the response to its end. */
  transferTime: Milliseconds;
}

/** A request to the store or to a replica's own API. */
export interface HttpRequest {
  /** Name of the call in error messages. */
  step: string;
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** IP address and port. */
  address: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** The call fails if no data is received for this long. */
  timeout: Milliseconds;
  signal?: AbortSignal;
  /** Called whenever a part of the response arrives. */
  onProgress?: () => void;
}

/** Opening a connection takes milliseconds; a lost SYN packet is sent again only after a second. */
const CONNECT_TIMEOUT: Milliseconds = 500;

/** Shorter than the idle timeout of every server that is called. */
const IDLE_TIMEOUT: Milliseconds = 3_000;

/** Maximum size of a response, also after decompression. */
const MAX_TEXT_BYTES = getMaxTextBytes(getHeapLimit(getHeapStatistics().heap_size_limit));

async function readBody(
  { headers, body }: Dispatcher.ResponseData,
  onProgress: () => void,
): Promise<string> {
  const collector = new ByteCollector();
  for await (const chunk of body) {
    onProgress();
    collector.append(chunk as Buffer);
  }
  const bytes = collector.take();
  const isCompressed = headers['content-encoding'] === 'gzip';
  const content = isCompressed ? gunzipSync(bytes, { maxOutputLength: MAX_TEXT_BYTES }) : bytes;
  return content.toString('utf8');
}

/**
 * An HTTP client whose calls end with a complete response of bounded size, or an error, in time. A call
 * without a response closes its connection, since the connection may be dead.
 */
export class HttpClient {
  private readonly agent = new Agent({
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
    maxResponseSize: MAX_TEXT_BYTES,
    keepAliveTimeout: IDLE_TIMEOUT,
    connect: connectInTime(CONNECT_TIMEOUT),
  });

  /** @throws StepError if no complete response is received in time */
  async send(request: HttpRequest): Promise<HttpResponse> {
    const { step, method, address, path, headers, body, timeout, signal, onProgress } = request;
    const watchdog = new Watchdog(timeout);
    const recordProgress = () => {
      watchdog.recordProgress();
      onProgress?.();
    };
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
      recordProgress();
      const headAt = performance.now();
      const text = await readBody(response, recordProgress);
      const transferTime = performance.now() - headAt;
      return { status: response.statusCode, headers: response.headers, text, transferTime };
    } catch (cause) {
      const message = cause instanceof Error ? cause.message : String(cause);
      throw new StepError(message, { step, peer: address, cause });
    } finally {
      watchdog.stop();
    }
  }

  async dispose(): Promise<void> {
    await this.agent.destroy();
  }
}

/** Parses a JSON response. @throws StepError if it is not valid JSON */
export function parseJson(text: string, step: string, peer: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new StepError('response is not valid JSON', { step, peer, cause });
  }
}
