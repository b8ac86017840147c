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
 * How a plain service's stand-in behaves.
 *
 * @public
 */
export interface ServiceStandinOptions {
  /** The service's name, echoed in its answers. */
  service: string;
  host: string;
  /** 0 takes any free port. */
  port: number;
  /** Calls run at once. */
  slots: number;
  /** Calls that may wait for a slot; more are refused. */
  maxWaiting: number;
  /** How long a call takes, in milliseconds. */
  delay: Milliseconds;
  /** How long the reported load stays behind the truth, in milliseconds. */
  loadLag: Milliseconds;
}

/**
 * What a plain service's stand-in runs on, beside its options.
 *
 * @public
 */
export interface ServiceStandinSettings extends Partial<ServiceStandinOptions> {
  /** The machine's clock when absent. */
  clock?: Clock;
  /** What a crash does; breaks every connection and frees the port when absent. */
  onCrash?: () => void;
}

/** The defaults: 16 calls at once, each of 5 ms. */
export const defaultServiceStandinOptions: ServiceStandinOptions = {
  service: 'service',
  host: '127.0.0.1',
  port: 0,
  slots: 16,
  maxWaiting: 1_000,
  delay: 5,
  loadLag: 200,
};

/** The request id on an answer that belongs to another request. */
const STRAY_ID = 'stray/0';

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
  /** Whether the whole answer was handed to the connection. */
  completed: boolean;
}

function getHeader(request: RoutedRequest, name: string): string | undefined {
  const value = request.headers[name];
  return value === undefined ? undefined : String(value);
}

/**
 * A plain service's place in tests. A call takes effect when it starts, whatever becomes of its
 * connection, and the service itself forgets no call and recognises none: running a call twice is
 * left for the system to prevent.
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

  constructor(setup: ServiceStandinSettings = {}) {
    const { clock = new SystemClock(), onCrash, ...options } = setup;
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

  /** @returns the address, with the port that port 0 became */
  listen(): Promise<ListenAddress> {
    return this.server.listen();
  }

  /** Every call that took effect, for the oracle of tests. */
  getRuns(): ServiceRun[] {
    return this.runs.getRuns();
  }

  /** Stops at once, as a crash does: every connection breaks. */
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
      await this.faults.whenNotStalled();
      sendJson(response, 200, { ...this.getReportedLoad(), leaving: this.faults.isLeaving() });
    });
    this.server.routeRest((request, response) => this.serveCall(request, response));
  }

  private getReportedLoad(): ReportedLoad {
    const { value, measuredAt } = this.queue.getReportedLoad();
    return { ...value, slots: this.options.slots, measuredAt };
  }

  private async serveCall(request: RoutedRequest, response: ServerResponse): Promise<void> {
    const body = await readBody(request);
    await this.faults.whenNotStalled();
    // Runs even if the caller has left meanwhile: a call that arrived may take effect late.
    const refusal = this.getRefusal();
    if (refusal !== undefined) {
      sendRefusal(response, refusal, this.getReportedLoad());
      return;
    }
    this.runCall(request, response, body);
  }

  private runCall(request: RoutedRequest, response: ServerResponse, body: string): void {
    const isDropped = this.faults.takeDrop() !== undefined;
    const isStray = this.faults.takeStray();
    let run: ServiceRun | undefined;
    this.queue.submit({
      onStart: () => {
        run = this.noteRun(request);
      },
      onEnd: async () => {
        await this.faults.whenNotStalled();
        if (isDropped) {
          response.destroy();
        } else if (!response.destroyed) {
          this.answer(run!, isStray ? STRAY_ID : run!.requestId, response, body);
        }
      },
    });
  }

  private noteRun(request: RoutedRequest): ServiceRun {
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

  private answer(
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
    if (this.faults.takeRefusal()) {
      return RefusalReason.Refusing;
    }
    const { running, waiting } = this.queue.getLoad();
    const isFull = running + waiting >= this.options.slots + this.options.maxWaiting;
    return isFull ? RefusalReason.Overloaded : undefined;
  }
}

/**
 * Creates a plain service's stand-in in this process.
 *
 * @example
 * ```ts
 * const service = createServiceStandin({ service: 'jasenportaali', delay: 10 });
 * const { port } = await service.listen();
 * ```
 * @public
 */
export function createServiceStandin(setup: ServiceStandinSettings = {}): ServiceStandin {
  return new ServiceStandin(setup);
}
