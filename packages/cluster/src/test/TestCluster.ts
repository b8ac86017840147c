import { MANIFEST_KEY, PART_PREFIX } from '@apricotrill/configuration';
import type { Instance } from '@apricotrill/store';
import { InstanceDirectory, InstanceRole, InstanceState, ObjectStore } from '@apricotrill/store';
import type { Milliseconds, Random } from '@apricotrill/utils';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Fate } from '../bench/SimulatedNetwork.js';
import { Carrier } from '../bench/SimulatedNetwork.js';
import { CoreHost } from '../bench/CoreHost.js';
import type { PlatformState } from '../bench/SimulatedPlatform.js';
import { StoreLink } from '../bench/SimulatedPlatform.js';
import type { ClusterEvent } from '../lib/ClusterEvent.js';
import type { ClusterOptions } from '../lib/clusterOptions.js';
import { defaultClusterOptions } from '../lib/clusterOptions.js';
import type { Member } from '../lib/Member.js';
import { createManifest } from '../bench/createManifest.js';
import { FreezableClock } from './FreezableClock.js';

/** One process of a daemon. */
export interface TestDaemon {
  id: string;
  host: CoreHost;
  clock: FreezableClock;
  platform: PlatformState;
  store: StoreLink;
  decisions: ClusterEvent[];
  /** Generations in the order in which they came in force. */
  generations: number[];
  leavingReplicas: string[];
}

/** What the network between the daemons does. */
export interface NetworkFaults {
  /** Whether messages pass from one id to another. */
  canPass: (from: string, to: string) => boolean;
  lossShare: number;
  duplicateShare: number;
  maxDelay: Milliseconds;
}

interface TestSettings {
  /** How many daemons in which zone; a zone's region is the text before its slash. */
  zones: Record<string, number>;
  seed?: number;
  options?: Partial<ClusterOptions>;
  listLag?: Milliseconds;
}

const START = 1_000_000_000;

/** What one daemon holds of another. */
export function getView({ host }: TestDaemon, id: string): Member | undefined {
  return host.core.getMembers().find((member) => member.id === id);
}

/** The members that a daemon has decided something about. */
export function getDecided({ decisions }: TestDaemon, kind: ClusterEvent['kind']): string[] {
  return decisions
    .filter((decision) => decision.kind === kind)
    .map((decision) => ('member' in decision ? decision.member : ''));
}

/** Some cores on one clock and one carrier, whose messages and platform the test can disturb. */
export class TestCluster {
  readonly clock = new ManualClock(START);

  readonly objects = new ObjectStore(this.clock);

  readonly directory: InstanceDirectory;

  readonly daemons: TestDaemon[] = [];

  /** Every process that ever ran, for oracles over the whole history. */
  readonly history: TestDaemon[] = [];

  readonly faults: NetworkFaults = {
    canPass: () => true,
    lossShare: 0,
    duplicateShare: 0,
    maxDelay: 5,
  };

  generation = 0;

  private readonly random: Random;

  private readonly carrier: Carrier;

  readonly options: ClusterOptions;

  private readonly ids = new Map<string, string>();

  constructor({ zones, seed = 1, options, listLag = 2000 }: TestSettings) {
    this.random = createRandom(seed);
    this.options = { ...defaultClusterOptions, ...options };
    this.directory = new InstanceDirectory(this.clock, listLag);
    this.carrier = new Carrier({
      clock: this.clock,
      getFate: (from, to) => this.getFate(this.ids.get(from)!, this.ids.get(to) ?? ''),
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

  /** Runs until the condition holds; false when it does not within the span. */
  runUntil(condition: () => boolean, span: Milliseconds): boolean {
    const end = this.clock.now() + span;
    while (!condition() && this.clock.runNext(end));
    return condition();
  }

  /** Cuts one daemon off from all others. */
  isolate(daemon: TestDaemon): void {
    this.faults.canPass = (from, to) => from !== daemon.id && to !== daemon.id;
  }

  heal(): void {
    this.faults.canPass = () => true;
  }

  /** The daemons but the given ones. */
  getOthers(...without: TestDaemon[]): TestDaemon[] {
    return this.daemons.filter((daemon) => !without.includes(daemon));
  }

  /** Has the next generation accepted at the store. */
  accept(workspaces?: number): number {
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

  /** Ends a process without a word; its instance is replaced, or stays on the platform's list. */
  crash(daemon: TestDaemon, staysListed = false): void {
    daemon.host.stop();
    this.carrier.remove(daemon.host);
    this.daemons.splice(this.daemons.indexOf(daemon), 1);
    if (!staysListed) {
      this.directory.remove(daemon.id);
    }
  }

  /** Starts a process in the place of one that crashed, on a machine whose clock may be off. */
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
    const store = new StoreLink(clock, this.objects, platform);
    const host = new CoreHost({
      self,
      clock,
      random: createRandom(this.random.integer(2 ** 31)),
      options: this.options,
      seeds: ['127.0.0.1:7000', '127.0.0.1:7001'],
      carrier: this.carrier,
      store,
      deliver: (arrival) => clock.deliver(arrival),
    });
    const daemon: TestDaemon = {
      id,
      host,
      clock,
      platform,
      store,
      decisions: [],
      generations: [],
      leavingReplicas: [],
    };
    host.events = {
      onDecision: (decision) => daemon.decisions.push(decision),
      onGeneration: (generation) => daemon.generations.push(generation),
      onReplicaLeaving: (replica) => daemon.leavingReplicas.push(replica),
    };
    this.carrier.add(host);
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

  private getFate(from: string, to: string): Fate {
    const { canPass, lossShare, duplicateShare, maxDelay } = this.faults;
    const isLost = !canPass(from, to) || this.random.next() < lossShare;
    if (isLost) {
      return { kind: 'lost' };
    }
    const delay = 1 + this.random.next() * maxDelay;
    return { kind: 'carried', delay, copies: this.random.next() < duplicateShare ? 2 : 1 };
  }
}
