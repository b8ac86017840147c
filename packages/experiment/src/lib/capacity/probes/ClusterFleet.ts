import { ClusterManager } from '@apricotrill/cluster';
import { ConfigurationStore } from '@apricotrill/configuration';
import type { Configuration } from '@apricotrill/model';
import {
  InstanceDirectory,
  InstanceRole,
  InstanceState,
  MemoryInstanceList,
  MemoryPlatformStore,
  ObjectStore,
} from '@apricotrill/store';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { advanceClock } from '../../measure/advanceClock.js';
import { MemoryNetwork } from './MemoryNetwork.js';

/** By then everybody must know everybody. */
const START_LIMIT: Milliseconds = 300_000;

const START_STEP: Milliseconds = 10_000;

/** By then a change must be in force everywhere. */
const CHANGE_LIMIT: Milliseconds = 60_000;

const CHANGE_STEP: Milliseconds = 5;

const ZONES = 4;

/** What the whole fleet has sent and asked of the store so far. */
export interface FleetCounts {
  messages: number;
  bytes: number;
  reads: number;
  waitingWatches: number;
}

function createIdentity(index: number) {
  return {
    id: `daemon-${index}`,
    region: 'region-0',
    availabilityZone: `zone-${index % ZONES}`,
    host: '127.0.0.1',
    port: 20_000 + index,
    meshPort: 30_000 + index,
    adminPort: 40_000 + index,
  };
}

function getMeshAddress({ host, meshPort }: ReturnType<typeof createIdentity>): string {
  return `${host}:${meshPort}`;
}

/**
 * Daemons that know each other, on one simulated clock, over messages encoded as on the wire.
 *
 * @example
 * ```ts
 * const fleet = new ClusterFleet(50);
 * await fleet.start();
 * ```
 * @internal
 */
export class ClusterFleet {
  /** How many availability zones the daemons stand in. */
  static readonly zones = ZONES;

  readonly clock = new ManualClock(1_000_000);

  private readonly network = new MemoryNetwork(this.clock);

  private readonly objects = new ObjectStore(this.clock);

  private readonly directory = new InstanceDirectory(this.clock);

  private readonly stores: MemoryPlatformStore[] = [];

  private readonly managers: ClusterManager[];

  private readonly configurations: ConfigurationStore;

  private generation = 0;

  private readonly stopped = new Set<number>();

  constructor(readonly daemons: number) {
    const { clock, objects } = this;
    const store = new MemoryPlatformStore({ clock, objects });
    this.configurations = new ConfigurationStore({ store, clock });
    this.managers = Array.from({ length: daemons }, (_, index) => this.createManager(index));
  }

  /** @throws Error when not everybody knows everybody by the limit */
  async start(): Promise<void> {
    this.managers.forEach((manager) => manager.start());
    await this.waitUntilKnown(START_STEP);
  }

  /**
   * Waits until every daemon that runs knows exactly those that run.
   *
   * @returns how long it took
   * @throws Error when it did not come to that by the limit
   */
  async waitUntilKnown(step: Milliseconds): Promise<Milliseconds> {
    const { clock } = this;
    const start = clock.now();
    const running = this.managers.filter((_, index) => !this.stopped.has(index));
    const isKnown = () =>
      running.every((manager) => manager.getMembers().length === running.length);
    while (!isKnown()) {
      if (clock.now() > start + START_LIMIT) {
        throw new Error(`${running.length} daemons did not get to know each other`);
      }
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(clock, step);
    }
    return clock.now() - start;
  }

  /** Ends daemons without a word, as when their instances fail. */
  crash(indexes: readonly number[]): void {
    const addresses = new Set(indexes.map((index) => getMeshAddress(createIdentity(index))));
    this.network.cut((from, to) => addresses.has(from) || addresses.has(to));
    indexes.forEach((index) => {
      this.stopped.add(index);
      this.managers[index]!.dispose();
    });
  }

  /** Lets no message pass between the daemons before an index and those from it on. */
  part(index: number): void {
    const before = new Set(
      Array.from({ length: index }, (_, other) => getMeshAddress(createIdentity(other))),
    );
    this.network.cut((from, to) => before.has(from) !== before.has(to));
  }

  /** Ends a parting. */
  heal(): void {
    this.network.heal();
  }

  /**
   * Gets a configuration accepted.
   *
   * @returns how long it took from then until it was in force at the last daemon
   * @throws Error when it is not in force everywhere by the limit
   */
  async change(configuration: Configuration): Promise<Milliseconds> {
    const { clock, managers } = this;
    const baseGeneration = this.generation;
    const author = 'operator';
    const changeId = `change-${baseGeneration + 1}`;
    await this.configurations.apply({ configuration, changeId, author, baseGeneration });
    this.generation += 1;
    const accepted = clock.now();
    while (managers.some((manager) => manager.getGeneration() < this.generation)) {
      if (clock.now() > accepted + CHANGE_LIMIT) {
        throw new Error(`generation ${this.generation} did not reach everybody`);
      }
      // eslint-disable-next-line no-await-in-loop
      await advanceClock(clock, CHANGE_STEP);
    }
    return clock.now() - accepted;
  }

  advance(span: Milliseconds): Promise<void> {
    return advanceClock(this.clock, span);
  }

  getCounts(): FleetCounts {
    const counters = this.stores.map((store) => store.getCounters());
    return {
      ...this.network.traffic,
      reads: counters.reduce((sum, { reads }) => sum + reads, 0),
      waitingWatches: counters.reduce((sum, { waitingWatches }) => sum + waitingWatches, 0),
    };
  }

  dispose(): void {
    this.managers.forEach((manager) => manager.dispose());
  }

  private createManager(index: number): ClusterManager {
    const { clock, network, objects, directory } = this;
    const self = createIdentity(index);
    directory.set({ ...self, role: InstanceRole.Daemon, state: InstanceState.Live });
    const store = new MemoryPlatformStore({ clock, objects });
    this.stores.push(store);
    return new ClusterManager({
      self,
      clock,
      random: createRandom(index + 1),
      mesh: network.createMesh(self.id, getMeshAddress(self)),
      store,
      instanceList: new MemoryInstanceList(directory),
      seeds: [createIdentity(0), createIdentity(1)].map(({ host, meshPort }) => ({
        host,
        port: meshPort,
      })),
    });
  }
}
