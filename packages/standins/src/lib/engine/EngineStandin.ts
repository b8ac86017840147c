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

const CACHE_EVENTS_KEPT = 10_000;

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
 * A model engine's place in tests: chat completions, streamed and whole, from a modelled batch,
 * with load reports, cache events, orders and faults. The answer is a pure function of the request.
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

  constructor(setup: EngineStandinSettings = {}) {
    const { clock = new SystemClock(), weights, onCrash, ...options } = setup;
    this.options = { ...defaultEngineStandinOptions, ...options };
    this.server = new StandinServer(this.options);
    this.faults = new BackendFaultInjector(this.getFaultActions(onCrash));
    const { lag, lossShare, kept } = this.getCacheEventOptions();
    const random = createRandom(this.options.seed);
    this.cacheEvents = new CacheEventLog(clock, random, { lag, lossShare, kept });
    this.requests = new EngineRequests(clock, this.options, this.faults, (change) =>
      this.cacheEvents.add(change),
    );
    this.orders = this.createOrders(clock, weights);
    this.addRoutes();
  }

  /** @returns the address, with the port that port 0 became */
  listen(): Promise<ListenAddress> {
    return this.server.listen();
  }

  /** Everything that reached a slot, for the oracle of tests. */
  getRuns(): EngineRun[] {
    return this.requests.runs.getRuns();
  }

  /** Stops at once, as a crash does: every connection breaks. */
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
      unstall: () => this.requests.batch.unpause(),
      silenceConnections: () => this.server.silenceConnections(),
      slow: (factor: number) => this.requests.batch.setSlowFactor(factor),
    };
  }

  private getCacheEventOptions() {
    const { cacheEventLag, cacheEventLoss } = this.options;
    return { lag: cacheEventLag, lossShare: cacheEventLoss, kept: CACHE_EVENTS_KEPT };
  }

  private createOrders(clock: Clock, weights: WeightStore | undefined): EngineOrders {
    const { weightLoads, weightSpan, checksFencing, loadTime, loaded } = this.options;
    const own = weights ?? new WeightStore(clock, { loads: weightLoads, per: weightSpan });
    return new EngineOrders({ clock, weights: own, checksFencing, loadTime, loaded });
  }

  private addRoutes(): void {
    this.addWorkRoutes();
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

  private addWorkRoutes(): void {
    this.server.route('POST', '/v1/chat/completions', (request, response) =>
      this.serveChat(request, response),
    );
    this.server.route('GET', '/load', async (_request, response) => {
      await this.faults.whenNotStalled();
      const load = this.requests.getReportedLoad();
      sendJson(response, 200, { ...load, leaving: this.faults.isLeaving() });
    });
    this.server.route('GET', '/cache-events', async (request, response) => {
      await this.faults.whenNotStalled();
      const events = this.cacheEvents.getAfter(getNumberQuery(request, 'after', 0));
      sendJson(response, 200, { events });
    });
  }

  private addOrderRoutes(): void {
    this.server.route('POST', '/admin/orders', async (request, response) => {
      const order = await readJson<FencedOrder>(request);
      await this.faults.whenNotStalled();
      sendOrderOutcome(response, this.orders.handle(order));
    });
    this.server.route('GET', '/admin/orders', (_request, response) => {
      sendJson(response, 200, { orders: this.orders.getHistory() });
    });
    this.server.route('GET', '/admin/state', async (_request, response) => {
      await this.faults.whenNotStalled();
      sendJson(response, 200, this.orders.getState());
    });
  }

  private async serveChat(connection: RoutedRequest, response: ServerResponse): Promise<void> {
    this.lastId += 1;
    const request = await parseChatRequest(connection, `unnamed-${this.lastId}/1`);
    await this.faults.whenNotStalled();
    // The caller may have left meanwhile; work begun now would have nobody to notice and end it.
    if (response.destroyed) {
      return;
    }
    const refusal = this.getRefusal(request);
    if (refusal !== undefined) {
      sendRefusal(response, refusal, this.requests.getReportedLoad());
      return;
    }
    const { socket } = connection;
    this.requests.run(request, response, () => this.server.isSilent(socket));
  }

  private getRefusal(request: ChatRequest): RefusalReason | undefined {
    if (this.faults.isLeaving()) {
      return RefusalReason.Leaving;
    }
    if (this.faults.takeRefusal()) {
      return RefusalReason.Refusing;
    }
    if (this.options.requiresLoaded && !this.orders.serves(request.model)) {
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
export function createEngineStandin(setup: EngineStandinSettings = {}): EngineStandin {
  return new EngineStandin(setup);
}
