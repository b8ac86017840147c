import { createRandom, SystemClock } from '@apricotrill/utils';
import type { Clock } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import { RefusalReason, sendRefusal } from '../backend/backendResponses.js';
import { BackendFaultInjector } from '../backend/BackendFaultInjector.js';
import type { BackendFault } from '../backend/BackendFaultInjector.js';
import { getNumberQuery } from '../http/getNumberQuery.js';
import { readJson } from '../http/readBody.js';
import { sendJson } from '../http/sendJson.js';
import { StandinServer } from '../http/StandinServer.js';
import type { ListenAddress, RoutedRequest } from '../http/StandinServer.js';
import { CacheEventLog } from './CacheEventLog.js';
import { EngineOrders } from './EngineOrders.js';
import type { FencedOrder, OrderOutcome } from './EngineOrders.js';
import { EngineRequests } from './EngineRequests.js';
import type { EngineRun } from './ChatExchange.js';
import { defaultEngineStandinOptions } from './EngineStandinOptions.js';
import type { EngineStandinOptions, EngineStandinSettings } from './EngineStandinOptions.js';
import { parseChatRequest } from './parseChatRequest.js';
import type { ChatRequest } from './parseChatRequest.js';
import { WeightStore } from './WeightStore.js';

const MAX_CACHE_EVENTS = 10_000;

function sendOrderOutcome(response: ServerResponse, outcome: OrderOutcome): void {
  if (outcome.kind === 'taken') {
    sendJson(response, 200, { state: outcome.state });
  } else if (outcome.kind === 'stale-fencing-number') {
    sendJson(response, 409, { error: outcome.kind, highest: outcome.highest });
  } else {
    const retryAfter = String(Math.ceil(outcome.retryAfter / 1_000));
    sendJson(response, 429, { error: outcome.kind }, { 'retry-after': retryAfter });
  }
}

/**
 * Replaces a model engine in tests: chat completions, streamed or not, from a simulated batch, with
 * load reports, cache events, orders and fault injection. The answer is a pure function of the
 * request.
 *
 * @public
 */
export class EngineStandin {
  readonly options: EngineStandinOptions;

  readonly faults: BackendFaultInjector;

  readonly orders: EngineOrders;

  private readonly requests: EngineRequests;

  private readonly cacheEvents: CacheEventLog;

  private readonly server: StandinServer;

  private lastId = 0;

  constructor(settings: EngineStandinSettings = {}) {
    const { clock = new SystemClock(), weights, onCrash, ...options } = settings;
    this.options = { ...defaultEngineStandinOptions, ...options };
    this.server = new StandinServer(this.options);
    this.faults = new BackendFaultInjector(this.getFaultActions(onCrash));
    const { lag, lossRate, maxEvents } = this.getCacheEventOptions();
    const random = createRandom(this.options.seed);
    this.cacheEvents = new CacheEventLog(clock, random, { lag, lossRate, maxEvents });
    this.requests = new EngineRequests(clock, this.options, this.faults, (change) =>
      this.cacheEvents.add(change),
    );
    this.orders = this.createOrders(clock, weights);
    this.addRoutes();
  }

  /** @returns the address, with the selected port if the port option is 0 */
  listen(): Promise<ListenAddress> {
    return this.server.listen();
  }

  /** Returns every request that reached a slot. */
  getRuns(): EngineRun[] {
    return this.requests.runs.getRuns();
  }

  /** Stops immediately, as in a crash; every connection breaks. */
  async dispose(): Promise<void> {
    this.faults.apply({ kind: 'unstall' });
    this.requests.dispose();
    this.orders.dispose();
    await this.server.dispose();
  }

  private getFaultActions(onCrash: (() => void) | undefined) {
    return {
      crash: onCrash ?? (() => this.dispose()),
      stall: () => this.requests.batch.pause(),
      unstall: () => this.requests.batch.resume(),
      silenceConnections: () => this.server.silenceConnections(),
      slow: (factor: number) => this.requests.batch.setSlowFactor(factor),
    };
  }

  private getCacheEventOptions() {
    const { cacheEventLag, cacheEventLoss } = this.options;
    return { lag: cacheEventLag, lossRate: cacheEventLoss, maxEvents: MAX_CACHE_EVENTS };
  }

  private createOrders(clock: Clock, weights: WeightStore | undefined): EngineOrders {
    const { weightLoads, weightSpan, checksFencing, loadTime, loaded } = this.options;
    const weightStore =
      weights ?? new WeightStore(clock, { maxLoads: weightLoads, period: weightSpan });
    return new EngineOrders({ clock, weights: weightStore, checksFencing, loadTime, loaded });
  }

  private addRoutes(): void {
    this.addRequestRoutes();
    this.addOrderRoutes();
    this.server.route('POST', '/faults', async (request, response) => {
      const fault = await readJson<BackendFault>(request);
      sendJson(response, 200, {});
      this.faults.apply(fault);
    });
    this.server.route('GET', '/runs', (_request, response) => {
      sendJson(response, 200, { runs: this.getRuns() });
    });
  }

  private addRequestRoutes(): void {
    this.server.route('POST', '/v1/chat/completions', (request, response) =>
      this.serveChat(request, response),
    );
    this.server.route('GET', '/load', async (_request, response) => {
      await this.faults.waitWhileStalled();
      const load = this.requests.getReportedLoad();
      sendJson(response, 200, { ...load, leaving: this.faults.isLeaving() });
    });
    this.server.route('GET', '/cache-events', async (request, response) => {
      await this.faults.waitWhileStalled();
      const events = this.cacheEvents.getAfter(getNumberQuery(request, 'after', 0));
      sendJson(response, 200, { events });
    });
  }

  private addOrderRoutes(): void {
    this.server.route('POST', '/admin/orders', async (request, response) => {
      const order = await readJson<FencedOrder>(request);
      await this.faults.waitWhileStalled();
      sendOrderOutcome(response, this.orders.handle(order));
    });
    this.server.route('GET', '/admin/orders', (_request, response) => {
      sendJson(response, 200, { orders: this.orders.getHistory() });
    });
    this.server.route('GET', '/admin/state', async (_request, response) => {
      await this.faults.waitWhileStalled();
      sendJson(response, 200, this.orders.getState());
    });
  }

  private async serveChat(connection: RoutedRequest, response: ServerResponse): Promise<void> {
    this.lastId += 1;
    const request = await parseChatRequest(connection, `unnamed-${this.lastId}/1`);
    await this.faults.waitWhileStalled();
    // The caller may have disconnected; the 'close' event would then never cancel the request.
    if (response.destroyed) {
      return;
    }
    const refusal = this.getRefusal(request);
    if (refusal !== undefined) {
      sendRefusal(response, refusal, this.requests.getReportedLoad());
      return;
    }
    const { socket } = connection;
    this.requests.run(request, response, () => this.server.isSilenced(socket));
  }

  private getRefusal(request: ChatRequest): RefusalReason | undefined {
    if (this.faults.isLeaving()) {
      return RefusalReason.Leaving;
    }
    if (this.faults.consumeRefusal()) {
      return RefusalReason.Refusing;
    }
    if (this.options.requiresLoaded && !this.orders.isLoaded(request.model)) {
      return RefusalReason.NotLoaded;
    }
    const { running, waiting } = this.requests.batch.getLoad();
    const isFull = running + waiting >= this.options.slots + this.options.maxWaiting;
    return isFull ? RefusalReason.Overloaded : undefined;
  }
}

/**
 * Creates an engine stand-in in this process.
 *
 * @example
 * ```ts
 * const engine = createEngineStandin({ slots: 4, checksFencing: true });
 * const { port } = await engine.listen();
 * ```
 * @public
 */
export function createEngineStandin(settings: EngineStandinSettings = {}): EngineStandin {
  return new EngineStandin(settings);
}
