import type { ServerResponse } from 'node:http';
import { InstanceDirectory, ObjectStore, StoreFaultInjector } from '@apricotrill/store';
import type { Instance, StoreFault } from '@apricotrill/store';
import { SystemClock } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { readJson } from '../http/readBody.js';
import { sendEmpty, sendJson } from '../http/sendJson.js';
import { StandinServer } from '../http/StandinServer.js';
import type { ListenAddress, RequestHandler } from '../http/StandinServer.js';
import { ObjectRoutes } from './ObjectRoutes.js';

/**
 * Options of the platform stand-in.
 *
 * @public
 */
export interface PlatformStandinOptions {
  host: string;
  /** 0 selects any free port. */
  port: number;
  /** How long the list of instances lags behind the actual state, in milliseconds. */
  listLag: Milliseconds;
}

/**
 * Constructor arguments of the platform stand-in.
 *
 * @public
 */
export interface PlatformStandinSettings extends Partial<PlatformStandinOptions> {
  /** The system clock by default. */
  clock?: Clock;
}

/** The default options; the list of instances lags by two seconds. */
export const defaultPlatformStandinOptions: PlatformStandinOptions = {
  host: '127.0.0.1',
  port: 0,
  listLag: 2_000,
};

/**
 * Replaces the platform in tests: an object store and a lagging list of instances, with fault
 * injection and call counters.
 *
 * @public
 */
export class PlatformStandin {
  readonly options: PlatformStandinOptions;

  readonly objects: ObjectStore;

  readonly directory: InstanceDirectory;

  readonly faults = new StoreFaultInjector();

  private readonly routes: ObjectRoutes;

  private readonly server: StandinServer;

  constructor(settings: PlatformStandinSettings = {}) {
    const { clock = new SystemClock(), ...options } = settings;
    this.options = { ...defaultPlatformStandinOptions, ...options };
    this.objects = new ObjectStore(clock);
    this.directory = new InstanceDirectory(clock, this.options.listLag);
    this.server = new StandinServer(this.options);
    this.routes = new ObjectRoutes(this.server, this.objects, this.faults, clock);
    this.routes.register();
    this.addInstanceRoutes();
    this.addTestRoutes();
  }

  /** @returns the address, with the selected port if the port option is 0 */
  listen(): Promise<ListenAddress> {
    return this.server.listen();
  }

  /** Starts or ends a fault. */
  applyFault(fault: StoreFault): void {
    this.faults.apply(fault);
    if (fault.kind === 'list-lag') {
      this.directory.setLag(fault.lagMs);
    } else if (fault.kind === 'down') {
      this.server.breakConnections();
    } else if (fault.kind === 'silence-connections') {
      this.server.silenceConnections();
    }
  }

  /** Returns the numbers of calls since the start. */
  getCounters(): ObjectRoutes['counters'] {
    return { ...this.routes.counters };
  }

  /** Stops immediately; every connection breaks. */
  async dispose(): Promise<void> {
    await this.server.dispose();
  }

  private addInstanceRoutes(): void {
    this.server.route(
      'GET',
      '/instances',
      this.routes.refuseWhileDown((_request, response) => {
        this.routes.counters.reads += 1;
        sendJson(response, 200, { instances: this.directory.getInstances() });
      }),
    );
    this.server.route('PUT', '/instances/:id', async (request, response) => {
      const instance = await readJson<Instance>(request);
      this.directory.set({ ...instance, id: decodeURIComponent(request.params.id!) });
      sendEmpty(response, 204);
    });
    this.server.route('DELETE', '/instances/:id', (request, response) => {
      this.directory.remove(decodeURIComponent(request.params.id!));
      sendEmpty(response, 204);
    });
  }

  private addTestRoutes(): void {
    const serveFault: RequestHandler = async (request, response) => {
      const fault = await readJson<StoreFault>(request);
      // The response is sent first, since taking the platform down breaks this connection too.
      await new Promise<void>((resolve) => {
        response.on('finish', resolve);
        sendJson(response, 200, {}, { connection: 'close' });
      });
      this.applyFault(fault);
    };
    this.server.route('POST', '/faults', serveFault);
    this.server.route('GET', '/counters', (_request, response: ServerResponse) => {
      sendJson(response, 200, this.getCounters());
    });
  }
}

/**
 * Creates a platform stand-in in this process.
 *
 * @example
 * ```ts
 * const platform = createPlatformStandin({ listLag: 0 });
 * const { port } = await platform.listen();
 * ```
 * @public
 */
export function createPlatformStandin(settings: PlatformStandinSettings = {}): PlatformStandin {
  return new PlatformStandin(settings);
}
