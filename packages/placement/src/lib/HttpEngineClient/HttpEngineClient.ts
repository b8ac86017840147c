import { withResetOnAbort } from '@apricotrill/utils';
import { Agent, buildConnector, request } from 'undici';
import { z } from 'zod';
import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { EngineRole } from '@apricotrill/model';
import { EngineUnavailableError } from '../EngineClient/EngineClient.js';
import { defaultPlacementOptions } from '../placementOptions.js';
import type {
  EngineClient,
  EngineState,
  FencedOrder,
  OrderOutcome,
} from '../EngineClient/EngineClient.js';

/** Timeouts of engine requests. */
interface HttpEngineOptions {
  observeTimeout: Milliseconds;
  orderTimeout: Milliseconds;
}

interface EngineRequest {
  method: 'GET' | 'POST';
  path: string;
  body?: string;
  timeout: Milliseconds;
}

interface EngineResponse {
  status: number;
  retryAfter: string | undefined;
  text: string;
}

const stateSchema = z.object({
  loaded: z.array(z.string()),
  loading: z.array(z.string()),
  role: z.enum(EngineRole),
  // Engines that ignore fencing numbers may omit it.
  highestFencingNumber: z.number().default(0),
});

const acceptedSchema = z.object({ state: stateSchema });

const staleSchema = z.object({
  error: z.literal('stale-fencing-number'),
  highest: z.number(),
});

const MILLISECONDS_PER_SECOND = 1_000;
const KEEP_ALIVE_TIMEOUT: Milliseconds = 4_000;
/** Far more than the state of an engine. */
const MAX_RESPONSE_BYTES = 1_048_576;

const OK = 200;
const CONFLICT = 409;
const TOO_MANY_REQUESTS = 429;

function parseRetryAfter(header: string | undefined): Milliseconds | undefined {
  const seconds = Number(header);
  return header === undefined || !Number.isFinite(seconds)
    ? undefined
    : seconds * MILLISECONDS_PER_SECOND;
}

function parseOutcome(response: EngineResponse): OrderOutcome {
  if (response.status === OK) {
    const { state } = acceptedSchema.parse(JSON.parse(response.text));
    return { kind: 'accepted', state };
  }
  if (response.status === TOO_MANY_REQUESTS) {
    return { kind: 'rate-limited', retryAfter: parseRetryAfter(response.retryAfter) };
  }
  if (response.status === CONFLICT) {
    const { highest } = staleSchema.parse(JSON.parse(response.text));
    return { kind: 'stale', highest };
  }
  return { kind: 'refused', status: response.status };
}

/**
 * Observes engines and sends them orders over HTTP: `GET /admin/state` and `POST /admin/orders`.
 * Requests are not retried here; the sender of an order observes the engine before repeating it.
 *
 * @example
 * ```ts
 * const engines = new HttpEngineClient(new SystemClock());
 * const state = await engines.observe(replica);
 * ```
 * @public
 */
export class HttpEngineClient implements EngineClient {
  /** Idle connections are closed soon: a dead one would make the next request time out. */
  private readonly agent = new Agent({
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT,
    connections: 2,
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: withResetOnAbort(buildConnector({})),
  });

  constructor(
    private readonly clock: Clock,
    private readonly options: HttpEngineOptions = defaultPlacementOptions,
  ) {}

  async observe(replica: Replica): Promise<EngineState> {
    const timeout = this.options.observeTimeout;
    return this.call(replica, { method: 'GET', path: '/admin/state', timeout }, (response) => {
      if (response.status !== OK) {
        throw new Error(`status ${response.status}`);
      }
      return stateSchema.parse(JSON.parse(response.text));
    });
  }

  async order(replica: Replica, order: FencedOrder): Promise<OrderOutcome> {
    const timeout = this.options.orderTimeout;
    const body = JSON.stringify(order);
    return this.call(
      replica,
      { method: 'POST', path: '/admin/orders', body, timeout },
      parseOutcome,
    );
  }

  /** Closes all connections; requests in flight fail. */
  async dispose(): Promise<void> {
    await this.agent.destroy();
  }

  /** The timeout covers the whole response: a stalled body must not keep the request open. */
  private async call<Value>(
    replica: Replica,
    engineRequest: EngineRequest,
    parse: (response: EngineResponse) => Value,
  ): Promise<Value> {
    const peer = `${replica.host}:${replica.port}`;
    const abort = new AbortController();
    const timer = this.clock.setTimer(engineRequest.timeout, () => abort.abort());
    try {
      const response = await request(`http://${peer}${engineRequest.path}`, {
        dispatcher: this.agent,
        method: engineRequest.method,
        body: engineRequest.body,
        headers: engineRequest.body === undefined ? {} : { 'content-type': 'application/json' },
        signal: abort.signal,
      });
      const text = await response.body.text();
      const retryAfter = response.headers['retry-after']?.toString();
      return parse({ status: response.statusCode, retryAfter, text });
    } catch (cause) {
      const step = `${engineRequest.method} ${engineRequest.path}`;
      throw new EngineUnavailableError('no valid response', { step, peer, cause });
    } finally {
      timer.cancel();
    }
  }
}
