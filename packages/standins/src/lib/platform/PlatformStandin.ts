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
 * How the platform's stand-in behaves.
 *
 * @public
 */
export interface PlatformStandinOptions {
  host: string;
  /** 0 takes any free port. */
  port: number;
  /** How long the list of instances stays behind the truth, in milliseconds. */
  listLag: Milliseconds;
}

/**
 * What the platform's stand-in runs on, beside its options.
 *
 * @public
 */
export interface PlatformStandinSettings extends Partial<PlatformStandinOptions> {
  /** The machine's clock when absent. */
  clock?: Clock;
}

/** The defaults: a list that is two seconds behind. */
export const defaultPlatformStandinOptions: PlatformStandinOptions = {
  host: '127.0.0.1',
  port: 0,
  listLag: 2_000,
};

/**
 * The platform's place in tests: the object store and the lagging list of instances, with faults
 * and counters.
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

  constructor(setup: PlatformStandinSettings = {}) {
    const { clock = new SystemClock(), ...options } = setup;
    this.options = { ...defaultPlatformStandinOptions, ...options };
    this.objects = new ObjectStore(clock);
    this.directory = new InstanceDirectory(clock, this.options.listLag);
    this.server = new StandinServer(this.options);
    this.routes = new ObjectRoutes(this.server, this.objects, this.faults, clock);
    this.routes.add();
    this.addInstanceRoutes();
    this.addHarnessRoutes();
  }

  /** @returns the address, with the port that port 0 became */
  listen(): Promise<ListenAddress> {
    return this.server.listen();
  }

  /** Shows a fault, or ends one. */
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

  /** Calls counted since the start. */
  getCounters(): ObjectRoutes['counters'] {
    return { ...this.routes.counters };
  }

  /** Stops at once: every connection breaks. */
  async dispose(): Promise<void> {
    await this.server.dispose();
  }

  private addInstanceRoutes(): void {
    this.server.route(
      'GET',
      '/instances',
      this.routes.whenUp((_request, response) => {
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

  private addHarnessRoutes(): void {
    const serveFault: RequestHandler = async (request, response) => {
      const fault = await readJson<StoreFault>(request);
      // Answered first, since taking the platform down breaks this connection too.
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
 * Creates the platform's stand-in in this process.
 *
 * @example
 * ```ts
 * const platform = createPlatformStandin({ listLag: 0 });
 * const { port } = await platform.listen();
 * ```
 * @public
 */
export function createPlatformStandin(setup: PlatformStandinSettings = {}): PlatformStandin {
  return new PlatformStandin(setup);
}
