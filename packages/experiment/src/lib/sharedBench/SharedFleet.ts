import { randomUUID } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ConfigurationStore } from '@apricotrill/configuration';
import type { AcceptedChange } from '@apricotrill/configuration';
import { ServiceKind } from '@apricotrill/model';
import type { Configuration } from '@apricotrill/model';
import { reservePorts } from '@apricotrill/standins';
import { HttpPlatformStore, InstanceRole, InstanceState } from '@apricotrill/store';
import type { CallCounters } from '@apricotrill/store';
import { StepError, SystemClock } from '@apricotrill/utils';
import { readExample } from '../deployments/readExample.js';
import { createFleetConfiguration } from './createFleetConfiguration.js';
import { BackendProcess } from './processes/BackendProcess.js';
import { DaemonProcess } from './processes/DaemonProcess.js';
import { PlatformProcess } from './processes/PlatformProcess.js';
import { waitUntil } from './processes/waitUntil.js';

const HOST = '127.0.0.1';

/** The deployment whose register, rules and availability zones are used. */
const EXAMPLE = 'liitto';

const REGION = 'etela-suomi';

/** Those of the example, and one more for measurements over five. */
const ZONES = ['helsinki-a', 'helsinki-b', 'espoo', 'vantaa', 'turku'];

export const MOST_ZONES = ZONES.length;

/** More at a time would only slow each other down. */
const STARTED_AT_ONCE = 6;

/** How many daemons a new one is told of; the platform's list names the others. */
const SEEDS = 3;

/** How many processes of each kind there are. */
export interface FleetSize {
  daemons: number;
  zones: number;
  engines: number;
  services: number;
}

async function startBackends(kind: ServiceKind, count: number): Promise<BackendProcess[]> {
  return Promise.all(Array.from({ length: count }, () => BackendProcess.start(kind, HOST)));
}

/**
 * Router daemons over several availability zones, the platform and backend servers, each a process
 * of its own, with the configuration of an example deployment.
 *
 * @internal
 */
export class SharedFleet {
  readonly daemons: DaemonProcess[] = [];

  private readonly store: HttpPlatformStore;

  private generation = 0;

  private constructor(
    readonly platform: PlatformProcess,
    readonly backends: BackendProcess[],
    /** Accepted last. */
    private current: Configuration,
    private readonly directory: string,
  ) {
    this.store = new HttpPlatformStore({ url: platform.url });
  }

  /** Starts everything; resolves when every daemon is ready and knows all others as alive. */
  static async start({ daemons, zones, engines, services }: FleetSize): Promise<SharedFleet> {
    const directory = await mkdtemp(path.join(tmpdir(), 'apricotrill-shared-'));
    const [platform, models, plain] = await Promise.all([
      PlatformProcess.start(HOST),
      startBackends(ServiceKind.Model, engines),
      startBackends(ServiceKind.Plain, services),
    ]);
    const configuration = createFleetConfiguration(
      readExample(EXAMPLE),
      new Map([
        [ServiceKind.Model, models],
        [ServiceKind.Plain, plain],
      ]),
    );
    const fleet = new SharedFleet(platform, [...models, ...plain], configuration, directory);
    await fleet.apply(configuration);
    await fleet.listBackends();
    await fleet.addDaemons(daemons, zones);
    await fleet.startDaemons();
    await fleet.waitUntilJoined();
    return fleet;
  }

  get configuration(): Configuration {
    return this.current;
  }

  /**
   * Gets a change accepted.
   *
   * @returns the change; `acceptedAt` was read right before the store was asked
   * @throws StepError when it is not accepted
   */
  async apply(configuration: Configuration): Promise<AcceptedChange> {
    // A clock of this moment: one that runs for minutes drifts from the daemons' log lines.
    const clock = new SystemClock();
    const configurations = new ConfigurationStore({ store: this.store, clock });
    const outcome = await configurations.apply({
      configuration,
      changeId: randomUUID(),
      author: 'bench',
      baseGeneration: this.generation,
    });
    if (outcome.kind !== 'accepted') {
      throw new StepError(`the change is ${outcome.kind}`, { step: 'apply', peer: 'store' });
    }
    this.generation = outcome.change.generation;
    this.current = configuration;
    return outcome.change;
  }

  /** Calls to the store that this tool made itself, as operators do. */
  getOperatorCalls(): CallCounters {
    return this.store.getCounters();
  }

  /** A daemon of the same binary that runs alone on two files and shares nothing. */
  async startLoneDaemon(): Promise<DaemonProcess> {
    const { register, rules } = this.current;
    const daemon = await this.createDaemon('lone', ZONES[0]!, [
      '--register',
      await this.write('register.jsonc', register),
      '--rules',
      await this.write('rules.jsonc', rules),
    ]);
    await daemon.start();
    return daemon;
  }

  /** Waits until every daemon is ready and knows all the others as alive. */
  async waitUntilJoined(): Promise<void> {
    const { daemons } = this;
    await Promise.all(
      daemons.map((daemon) =>
        waitUntil(`${daemon.address.id} joined`, async () => {
          if (!(await daemon.isReady())) {
            return false;
          }
          const members = await daemon.getMembers();
          return members.filter(({ state }) => state === 'alive').length === daemons.length;
        }),
      ),
    );
  }

  async dispose(): Promise<void> {
    await Promise.all([...this.daemons, ...this.backends].map((process) => process.dispose()));
    await this.platform.dispose();
    await this.store.dispose();
    await rm(this.directory, { recursive: true, force: true });
  }

  private async listBackends(): Promise<void> {
    const role = InstanceRole.BackendServer;
    const state = InstanceState.Live;
    await Promise.all(
      this.current.register.replicas.map(({ id, availabilityZone, host, port }) =>
        this.platform.putInstance({ id, role, state, availabilityZone, host, port }),
      ),
    );
  }

  private async addDaemons(count: number, zones: number): Promise<void> {
    for (let index = 0; index < count; index += 1) {
      // One after the other: each takes the next port.
      // eslint-disable-next-line no-await-in-loop
      const daemon = await this.createDaemon(`daemon-${index + 1}`, ZONES[index % zones]!, []);
      this.daemons.push(daemon);
      const { id, availabilityZone, host, meshPort } = daemon.address;
      const role = InstanceRole.Daemon;
      const state = InstanceState.Live;
      // eslint-disable-next-line no-await-in-loop
      await this.platform.putInstance({ id, role, state, availabilityZone, host, port: meshPort });
    }
  }

  private async startDaemons(): Promise<void> {
    for (let index = 0; index < this.daemons.length; index += STARTED_AT_ONCE) {
      const batch = this.daemons.slice(index, index + STARTED_AT_ONCE);
      // eslint-disable-next-line no-await-in-loop
      await Promise.all(batch.map((daemon) => daemon.start()));
    }
  }

  private async createDaemon(id: string, zone: string, args: string[]): Promise<DaemonProcess> {
    const [meshPort] = (await reservePorts(1)) as [number];
    const seeds = this.daemons.slice(0, SEEDS).map(({ address }) => address.meshPort);
    const address = { id, availabilityZone: zone, host: HOST, meshPort };
    const settings = await this.write(`${id}.jsonc`, {
      ...address,
      region: REGION,
      port: 0,
      adminPort: 0,
      platformUrl: this.platform.url,
      seeds: seeds.map((port) => ({ host: HOST, port })),
    });
    return new DaemonProcess(address, ['--settings', settings, ...args]);
  }

  private async write(name: string, value: unknown): Promise<string> {
    const file = path.join(this.directory, name);
    await writeFile(file, JSON.stringify(value, undefined, 2));
    return file;
  }
}
