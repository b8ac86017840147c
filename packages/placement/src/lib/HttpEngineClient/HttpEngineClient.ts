import { Agent, request } from 'undici';
import { z } from 'zod';
import type { Replica } from '@apricotrill/model';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { EngineRole } from '@apricotrill/model';
import { EngineUnavailableError } from '../EngineClient/EngineClient.js';
import { defaultPlacementOptions } from '../placementOptions.js';
import type {
  EngineClient,
  EngineState,
  NumberedOrder,
  OrderOutcome,
} from '../EngineClient/EngineClient.js';

/** How long each kind of call may take. */
interface HttpEngineOptions {
  observeTimeout: Milliseconds;
  orderTimeout: Milliseconds;
}

interface Call {
  method: 'GET' | 'POST';
  path: string;
  body?: string;
  timeout: Milliseconds;
}

interface Answer {
  status: number;
  retryAfter: string | undefined;
  text: string;
}

const stateSchema = z.object({
  loaded: z.array(z.string()),
  loading: z.array(z.string()),
  role: z.enum(EngineRole),
  // An engine that ignores fencing numbers may leave it out.
  highestFencingNumber: z.number().default(0),
});

const acceptedSchema = z.object({ state: stateSchema });

const staleSchema = z.object({
  error: z.literal('stale-fencing-number'),
  highest: z.number(),
});

const SECOND = 1_000;
const MAXIMUM_IDLE: Milliseconds = 4_000;
const OK = 200;
const CONFLICT = 409;
const TOO_MANY_REQUESTS = 429;

function getRetryAfter(header: string | undefined): Milliseconds | undefined {
  const seconds = Number(header);
  return header === undefined || !Number.isFinite(seconds) ? undefined : seconds * SECOND;
}

function getOutcome(answer: Answer): OrderOutcome {
  if (answer.status === OK) {
    const { state } = acceptedSchema.parse(JSON.parse(answer.text));
    return { kind: 'accepted', state };
  }
  if (answer.status === TOO_MANY_REQUESTS) {
    return { kind: 'rate-limited', retryAfter: getRetryAfter(answer.retryAfter) };
  }
  if (answer.status === CONFLICT) {
    const { highest } = staleSchema.parse(JSON.parse(answer.text));
    return { kind: 'stale', highest };
  }
  return { kind: 'refused', status: answer.status };
}

/**
 * Orders to engines over HTTP: `GET /admin/state` and `POST /admin/orders`. Nothing is retried
 * here; whoever gives the orders looks at the engine first.
 *
 * @example
 * ```ts
 * const engines = new HttpEngineOrders(new SystemClock());
 * const state = await engines.observe(replica);
 * ```
 * @public
 */
export class HttpEngineClient implements EngineClient {
  /** Idle connections are dropped soon: one that went silent would cost the next call its timeout. */
  private readonly agent = new Agent({ keepAliveTimeout: MAXIMUM_IDLE, connections: 2 });

  constructor(
    private readonly clock: Clock,
    private readonly options: HttpEngineOptions = defaultPlacementOptions,
  ) {}

  async observe(replica: Replica): Promise<EngineState> {
    const timeout = this.options.observeTimeout;
    return this.call(replica, { method: 'GET', path: '/admin/state', timeout }, (answer) => {
      if (answer.status !== OK) {
        throw new Error(`status ${answer.status}`);
      }
      return stateSchema.parse(JSON.parse(answer.text));
    });
  }

  async order(replica: Replica, order: NumberedOrder): Promise<OrderOutcome> {
    const timeout = this.options.orderTimeout;
    const body = JSON.stringify(order);
    return this.call(replica, { method: 'POST', path: '/admin/orders', body, timeout }, getOutcome);
  }

  /** Closes all connections; calls under way fail. */
  async dispose(): Promise<void> {
    await this.agent.destroy();
  }

  /** The timeout covers the whole call: an engine that stalls mid-answer must not hold it open. */
  private async call<Value>(
    replica: Replica,
    call: Call,
    read: (answer: Answer) => Value,
  ): Promise<Value> {
    const peer = `${replica.host}:${replica.port}`;
    const abort = new AbortController();
    const timer = this.clock.setTimer(call.timeout, () => abort.abort());
    try {
      const response = await request(`http://${peer}${call.path}`, {
        dispatcher: this.agent,
        method: call.method,
        body: call.body,
        headers: call.body === undefined ? {} : { 'content-type': 'application/json' },
        signal: abort.signal,
      });
      const text = await response.body.text();
      const retryAfter = response.headers['retry-after']?.toString();
      return read({ status: response.statusCode, retryAfter, text });
    } catch (cause) {
      const step = `${call.method} ${call.path}`;
      throw new EngineUnavailableError('no usable answer', { step, peer, cause });
    } finally {
      timer.cancel();
    }
  }
}
