import { MANIFEST_KEY, PART_PREFIX } from '@apricotrill/configuration';
import type { Instance } from '@apricotrill/store';
import { InstanceDirectory, InstanceRole, InstanceState, ObjectStore } from '@apricotrill/store';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Delivery } from '../bench/SimulatedNetwork.js';
import { SimulatedNetwork } from '../bench/SimulatedNetwork.js';
import { CoreHost } from '../bench/CoreHost.js';
import type { PlatformState } from '../bench/SimulatedPlatform.js';
import { SimulatedPlatform } from '../bench/SimulatedPlatform.js';
import type { ClusterEvent } from '../lib/ClusterEvent.js';
import type { ClusterOptions } from '../lib/clusterOptions.js';
import { defaultClusterOptions } from '../lib/clusterOptions.js';
import type { Member } from '../lib/Member.js';
import { createManifest } from '../bench/createManifest.js';
import { FreezableClock } from './FreezableClock.js';

/** One daemon process under test. */
export interface TestDaemon {
  id: string;
  host: CoreHost;
  clock: FreezableClock;
  platform: PlatformState;
  store: SimulatedPlatform;
  events: ClusterEvent[];
  /** Configuration generations in the order in which they came into force. */
  generations: number[];
  leavingReplicas: string[];
}

/** The faults of the network between the daemons. */
export interface NetworkFaults {
  /** Whether messages pass from one daemon id to another. */
  canPass: (from: string, to: string) => boolean;
  lossShare: number;
  duplicateShare: number;
  maxDelay: Milliseconds;
}

interface TestSettings {
  /** The number of daemons by zone, each zone written as `region/zone`. */
  zones: Record<string, number>;
  seed?: number;
  options?: Partial<ClusterOptions>;
  listLag?: Milliseconds;
}

const START = 1_000_000_000;

/** How one daemon sees another. */
export function getView({ host }: TestDaemon, id: string): Member | undefined {
  return host.core.getMembers().find((member) => member.id === id);
}

/** The members named by a daemon's events of the given kind. */
export function getMembersOfEvents({ events }: TestDaemon, kind: ClusterEvent['kind']): string[] {
  return events
    .filter((event) => event.kind === kind)
    .map((event) => ('member' in event ? event.member : ''));
}

/** Daemon cores on one clock and a simulated network and platform, both open to fault injection. */
export class TestCluster {
  readonly clock = new ManualClock(START);

  readonly objects = new ObjectStore(this.clock);

  readonly directory: InstanceDirectory;

  readonly daemons: TestDaemon[] = [];

  /** Every process that ever ran, for checks over the whole history. */
  readonly history: TestDaemon[] = [];

  readonly faults: NetworkFaults = {
    canPass: () => true,
    lossShare: 0,
    duplicateShare: 0,
    maxDelay: 5,
  };

  generation = 0;

  private readonly random: Random;

  private readonly network: SimulatedNetwork;

  readonly options: ClusterOptions;

  private readonly ids = new Map<string, string>();

  constructor({ zones, seed = 1, options, listLag = 2000 }: TestSettings) {
    this.random = createRandom(seed);
    this.options = { ...defaultClusterOptions, ...options };
    this.directory = new InstanceDirectory(this.clock, listLag);
    this.network = new SimulatedNetwork({
      clock: this.clock,
      getDelivery: (from, to) => this.getDelivery(this.ids.get(from)!, this.ids.get(to) ?? ''),
    });
    Object.entries(zones).forEach(([zone, size]) => {
      for (let count = 0; count < size; count += 1) {
        this.add(zone);
      }
    });
  }

  get(id: string): TestDaemon | undefined {
    return this.daemons.find((daemon) => daemon.id === id);
  }

  run(span: Milliseconds): void {
    this.clock.advance(span);
  }

  /** Runs until the condition holds, and returns false if it does not within the span. */
  runUntil(condition: () => boolean, span: Milliseconds): boolean {
    const end = this.clock.now() + span;
    while (!condition() && this.clock.runNext(end));
    return condition();
  }

  /** Isolates one daemon from all others. */
  isolate(daemon: TestDaemon): void {
    this.faults.canPass = (from, to) => from !== daemon.id && to !== daemon.id;
  }

  heal(): void {
    this.faults.canPass = () => true;
  }

  /** All daemons except the given ones. */
  getOthers(...without: TestDaemon[]): TestDaemon[] {
    return this.daemons.filter((daemon) => !without.includes(daemon));
  }

  /** Writes the next generation to the store, and returns its number. */
  acceptChange(workspaces?: number): number {
    this.generation += 1;
    const { manifest, parts } = createManifest(this.generation, workspaces);
    parts.forEach(({ hash, text }) => this.objects.put(PART_PREFIX + hash, text, 0));
    const version = this.objects.get(MANIFEST_KEY)?.version ?? 0;
    this.objects.put(MANIFEST_KEY, JSON.stringify(manifest), version);
    return this.generation;
  }

  /** Adds a daemon and starts it. */
  add(zone: string): TestDaemon {
    const id = `daemon-${this.ids.size + 1}`;
    const meshPort = 7000 + this.ids.size;
    this.ids.set(`127.0.0.1:${meshPort}`, id);
    return this.startProcess(id, zone, meshPort);
  }

  /**
   * Stops a process without announcing that it leaves. Its instance is removed from the platform's
   * list unless `staysListed`.
   */
  crash(daemon: TestDaemon, staysListed = false): void {
    daemon.host.stop();
    this.network.remove(daemon.host);
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    if (!staysListed) {
      this.directory.remove(daemon.id);
    }
  }

  /** Starts a process at the address of a crashed one, on a machine whose clock may be skewed. */
  restart(old: TestDaemon, clockOffset: Milliseconds = 0, id = old.id): TestDaemon {
    const { meshPort, availabilityZone, region } = old.host.self;
    return this.startProcess(id, `${region}/${availabilityZone}`, meshPort, clockOffset);
  }

  setPlatform(state: Partial<PlatformState>): void {
    this.daemons.forEach(({ platform, store }) => {
      Object.assign(platform, state);
      if (state.isDown) {
        store.failWatches();
      }
    });
  }

  dispose(): void {
    this.daemons.forEach(({ host }) => host.stop());
  }

  private startProcess(
    id: string,
    zone: string,
    meshPort: number,
    clockOffset: Milliseconds = 0,
  ): TestDaemon {
    const [region, availabilityZone] = zone.split('/') as [string, string];
    const address = { host: '127.0.0.1', port: 1, meshPort, adminPort: 2 };
    const self = { id, region, availabilityZone, ...address };
    const clock = new FreezableClock(this.clock, clockOffset);
    const getInstances = (): Instance[] => this.directory.getInstances();
    const platform = { isDown: false, hasSilentWatches: false, latency: 3, getInstances };
    const store = new SimulatedPlatform(clock, this.objects, platform);
    const host = new CoreHost({
      self,
      clock,
      random: createRandom(this.random.integer(2 ** 31)),
      options: this.options,
      seeds: ['127.0.0.1:7000', '127.0.0.1:7001'],
      network: this.network,
      platform: store,
      deliver: (arrival) => clock.deliver(arrival),
    });
    const daemon: TestDaemon = {
      id,
      host,
      clock,
      platform,
      store,
      events: [],
      generations: [],
      leavingReplicas: [],
    };
    host.listeners = {
      onEvent: (event) => daemon.events.push(event),
      onGeneration: (generation) => daemon.generations.push(generation),
      onReplicaLeaving: (replica) => daemon.leavingReplicas.push(replica),
    };
    this.network.add(host);
    this.daemons.push(daemon);
    this.history.push(daemon);
    this.directory.set({
      id,
      role: InstanceRole.Daemon,
      state: InstanceState.Live,
      availabilityZone,
      host: self.host,
      port: meshPort,
    });
    host.start();
    return daemon;
  }

  private getDelivery(from: string, to: string): Delivery {
    const { canPass, lossShare, duplicateShare, maxDelay } = this.faults;
    const isLost = !canPass(from, to) || this.random.next() < lossShare;
    if (isLost) {
      return { kind: 'lost' };
    }
    const delay = 1 + this.random.next() * maxDelay;
    return { kind: 'delivered', delay, copies: this.random.next() < duplicateShare ? 2 : 1 };
  }
}
