import { createHash } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import { SystemClock } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { getLoadHeaders, RefusalReason, sendRefusal } from '../backend/backendResponses.js';
import type { ReportedLoad } from '../backend/backendResponses.js';
import { BackendFaultInjector } from '../backend/BackendFaultInjector.js';
import type { BackendFault } from '../backend/BackendFaultInjector.js';
import { RunLog } from '../backend/RunLog.js';
import { readBody, readJson } from '../http/readBody.js';
import { sendJson } from '../http/sendJson.js';
import { StandinServer } from '../http/StandinServer.js';
import type { ListenAddress, RoutedRequest } from '../http/StandinServer.js';
import { ServiceQueue } from './ServiceQueue.js';

/**
 * Options of the stand-in for a plain service.
 *
 * @public
 */
export interface ServiceStandinOptions {
  /** The service's name, echoed in its responses. */
  service: string;
  host: string;
  /** 0 selects any free port. */
  port: number;
  /** The number of calls that run at once. */
  slots: number;
  /** The number of calls that may wait for a slot; further calls are refused. */
  maxWaiting: number;
  /** How long a call takes, in milliseconds. */
  delay: Milliseconds;
  /** How long the reported load lags behind the actual load, in milliseconds. */
  loadLag: Milliseconds;
}

/**
 * Constructor arguments of the stand-in for a plain service.
 *
 * @public
 */
export interface ServiceStandinSettings extends Partial<ServiceStandinOptions> {
  /** The system clock by default. */
  clock?: Clock;
  /** Called on a crash fault; breaks every connection and frees the port by default. */
  onCrash?: () => void;
}

/** The default options: 16 concurrent calls of 5 ms each. */
export const defaultServiceStandinOptions: ServiceStandinOptions = {
  service: 'service',
  host: '127.0.0.1',
  port: 0,
  slots: 16,
  maxWaiting: 1_000,
  delay: 5,
  loadLag: 200,
};

/** The request id of a response that belongs to another request. */
const STRAY_REQUEST_ID = 'stray/0';

/**
 * A call that took effect at the service.
 *
 * @public
 */
export interface ServiceRun {
  run: number;
  requestId: string | undefined;
  idempotencyKey: string | undefined;
  method: string;
  path: string;
  /** Whether the whole response was written to the connection. */
  completed: boolean;
}

function getHeader(request: RoutedRequest, name: string): string | undefined {
  const value = request.headers[name];
  return value === undefined ? undefined : String(value);
}

/**
 * Replaces a plain service in tests. A call takes effect when it starts, whatever happens to its
 * connection. The service records every call and does not detect duplicates: preventing a call from
 * running twice is up to the system under test.
 *
 * @public
 */
export class ServiceStandin {
  readonly options: ServiceStandinOptions;

  readonly faults: BackendFaultInjector;

  private readonly runs = new RunLog<ServiceRun>();

  private readonly queue: ServiceQueue;

  private readonly server: StandinServer;

  private lastRun = 0;

  constructor(settings: ServiceStandinSettings = {}) {
    const { clock = new SystemClock(), onCrash, ...options } = settings;
    this.options = { ...defaultServiceStandinOptions, ...options };
    this.server = new StandinServer(this.options);
    this.queue = new ServiceQueue(clock, this.options);
    this.faults = new BackendFaultInjector({
      crash: onCrash ?? (() => this.dispose()),
      stall: () => {},
      unstall: () => {},
      silenceConnections: () => this.server.silenceConnections(),
      slow: (factor) => this.queue.setSlowFactor(factor),
    });
    this.addRoutes();
  }

  /** @returns the address, with the selected port if the port option is 0 */
  listen(): Promise<ListenAddress> {
    return this.server.listen();
  }

  /** Returns every call that took effect. */
  getRuns(): ServiceRun[] {
    return this.runs.getRuns();
  }

  /** Stops immediately, as in a crash; every connection breaks. */
  async dispose(): Promise<void> {
    this.faults.apply({ kind: 'unstall' });
    this.queue.dispose();
    await this.server.dispose();
  }

  private addRoutes(): void {
    this.server.route('POST', '/faults', async (request, response) => {
      const fault = await readJson<BackendFault>(request);
      sendJson(response, 200, {});
      this.faults.apply(fault);
    });
    this.server.route('GET', '/runs', (_request, response) => {
      sendJson(response, 200, { runs: this.getRuns() });
    });
    this.server.route('GET', '/load', async (_request, response) => {
      await this.faults.waitWhileStalled();
      sendJson(response, 200, { ...this.getReportedLoad(), leaving: this.faults.isLeaving() });
    });
    this.server.setFallbackHandler((request, response) => this.serveCall(request, response));
  }

  private getReportedLoad(): ReportedLoad {
    const { value, measuredAt } = this.queue.getReportedLoad();
    return { ...value, slots: this.options.slots, measuredAt };
  }

  private async serveCall(request: RoutedRequest, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    await this.faults.waitWhileStalled();
    // Runs even if the caller has disconnected: a call that has arrived may take effect late.
    const refusal = this.getRefusal();
    if (refusal !== undefined) {
      sendRefusal(response, refusal, this.getReportedLoad());
      return;
    }
    this.runCall(request, response, body);
  }

  private runCall(request: RoutedRequest, response: ServerResponse, body: string): void {
    const isDropped = this.faults.consumeDrop() !== undefined;
    const isStray = this.faults.consumeStrayAnswer();
    let run: ServiceRun | undefined;
    this.queue.submit({
      onStart: () => {
        run = this.recordRun(request);
      },
      onEnd: async () => {
        await this.faults.waitWhileStalled();
        if (isDropped) {
          response.destroy();
        } else if (!response.destroyed) {
          this.sendAnswer(run!, isStray ? STRAY_REQUEST_ID : run!.requestId, response, body);
        }
      },
    });
  }

  private recordRun(request: RoutedRequest): ServiceRun {
    this.lastRun += 1;
    return this.runs.add({
      run: this.lastRun,
      requestId: getHeader(request, 'x-request-id'),
      idempotencyKey: getHeader(request, 'idempotency-key'),
      method: request.method ?? 'GET',
      path: request.url ?? '/',
      completed: false,
    });
  }

  private sendAnswer(
    run: ServiceRun,
    requestId: string | undefined,
    response: ServerResponse,
    body: string,
  ): void {
    const echo = createHash('sha256').update(body).digest('hex');
    const { method, path } = run;
    const id = requestId === undefined ? {} : { 'x-request-id': requestId };
    const content = { service: this.options.service, method, path, echo, requestId, run: run.run };
    sendJson(response, 200, content, { ...id, ...getLoadHeaders(this.getReportedLoad()) });
    Object.assign(run, { completed: true });
  }

  private getRefusal(): RefusalReason | undefined {
    if (this.faults.isLeaving()) {
      return RefusalReason.Leaving;
    }
    if (this.faults.consumeRefusal()) {
      return RefusalReason.Refusing;
    }
    const { running, waiting } = this.queue.getLoad();
    const isFull = running + waiting >= this.options.slots + this.options.maxWaiting;
    return isFull ? RefusalReason.Overloaded : undefined;
  }
}

/**
 * Creates a stand-in for a plain service in this process.
 *
 * @example
 * ```ts
 * const service = createServiceStandin({ service: 'jasenportaali', delay: 10 });
 * const { port } = await service.listen();
 * ```
 * @public
 */
export function createServiceStandin(settings: ServiceStandinSettings = {}): ServiceStandin {
  return new ServiceStandin(settings);
}
