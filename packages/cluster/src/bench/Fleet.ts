import { MANIFEST_KEY, PART_PREFIX } from '@apricotrill/configuration';
import { ObjectStore } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { ClusterOptions } from '../lib/clusterOptions.js';
import { defaultClusterOptions } from '../lib/clusterOptions.js';
import { SimulatedNetwork } from './SimulatedNetwork.js';
import { CoreHost } from './CoreHost.js';
import { createManifest } from './createManifest.js';
import { SimulatedPlatform } from './SimulatedPlatform.js';

/** The size of a deployment to measure. */
export interface FleetSize {
  daemons: number;
  regions: number;
  availabilityZones: number;
}

/** Assumed one-way delays within a region and between regions. */
const INTRA_REGION_DELAY: Milliseconds = 1.5;
const INTER_REGION_DELAY: Milliseconds = 30;

const START = 1_700_000_000_000;

const STORE_LATENCY: Milliseconds = 5;

const FIRST_PORT = 7000;

/** Totals over all daemons since the start. */
export interface FleetTotals {
  messages: number;
  bytes: number;
  storeReads: number;
  watches: number;
}

/** A fleet of daemon cores on one simulated clock, with messages encoded as on the wire. */
export class Fleet {
  readonly clock = new ManualClock(START);

  readonly hosts: CoreHost[] = [];

  readonly platformState = {
    isDown: false,
    hasSilentWatches: false,
    latency: STORE_LATENCY,
    getInstances: () => [],
  };

  private readonly objects = new ObjectStore(this.clock);

  private readonly platforms: SimulatedPlatform[] = [];

  private readonly options: ClusterOptions = { ...defaultClusterOptions };

  private readonly regions = new Map<string, string>();

  private readonly network: SimulatedNetwork;

  private messages = 0;

  private bytes = 0;

  private generation = 0;

  constructor(private readonly size: FleetSize) {
    const random = createRandom(size.daemons);
    this.network = new SimulatedNetwork({
      clock: this.clock,
      getDelivery: (from, to) => {
        const isNear = this.regions.get(from) === this.regions.get(to);
        const delay = (isNear ? INTRA_REGION_DELAY : INTER_REGION_DELAY) * (1 + random.next());
        return { kind: 'delivered', delay, copies: 1 };
      },
      onMessageBytes: (_from, _to, bytes) => {
        this.messages += 1;
        this.bytes += bytes;
      },
    });
  }

  /**
   * Starts all daemons and lets them discover each other through anti-entropy only: the rumours of
   * so many simultaneous joins would take most of the measurement's time.
   */
  start(): void {
    const { rumourRetransmitMultiplier, syncInterval, maxSyncPageBytes } = this.options;
    Object.assign(this.options, {
      rumourRetransmitMultiplier: 0,
      syncInterval: 2000,
      maxSyncPageBytes: 1e6,
    });
    for (let index = 0; index < this.size.daemons; index += 1) {
      this.add(index);
      this.clock.advance(10);
    }
    const isKnown = () => this.hosts.every(({ core }) => core.memberCount === this.size.daemons);
    while (!isKnown()) {
      this.clock.advance(1000);
    }
    Object.assign(this.options, { rumourRetransmitMultiplier, syncInterval, maxSyncPageBytes });
  }

  /** Writes a new generation to the store, and returns its number. */
  acceptChange(): number {
    this.generation += 1;
    const { manifest, parts } = createManifest(this.generation);
    parts.forEach(({ hash, text }) => this.objects.put(PART_PREFIX + hash, text, 0));
    const version = this.objects.get(MANIFEST_KEY)?.version ?? 0;
    this.objects.put(MANIFEST_KEY, JSON.stringify(manifest), version);
    return this.generation;
  }

  /** Stops daemons without announcing that they leave. */
  crash(hosts: readonly CoreHost[]): void {
    hosts.forEach((host) => {
      host.stop();
      this.network.remove(host);
      this.hosts.splice(this.hosts.indexOf(host), 1);
    });
  }

  /** Runs until the condition holds, checked every 10 ms, and returns the elapsed time. */
  measureTimeUntil(condition: () => boolean): Milliseconds {
    const CHECK_INTERVAL = 10;
    const start = this.clock.now();
    while (!condition()) {
      this.clock.advance(CHECK_INTERVAL);
    }
    return this.clock.now() - start;
  }

  getTotals(): FleetTotals {
    const sum = (count: 'reads' | 'watches') =>
      this.platforms.reduce((total, { counts }) => total + counts[count], 0);
    return {
      messages: this.messages,
      bytes: this.bytes,
      storeReads: sum('reads'),
      watches: sum('watches'),
    };
  }

  getWaitingWatches(): number {
    return this.platforms.reduce((total, { waitingCount }) => total + waitingCount, 0);
  }

  dispose(): void {
    this.hosts.forEach((host) => host.stop());
  }

  private add(index: number): void {
    const { regions, availabilityZones } = this.size;
    const region = `region-${index % regions}`;
    const availabilityZone = `zone-${index % availabilityZones}`;
    const address = { host: '10.0.0.1', port: 8080, meshPort: FIRST_PORT + index, adminPort: 8082 };
    const platform = new SimulatedPlatform(this.clock, this.objects, this.platformState);
    const host = new CoreHost({
      self: { id: `daemon-${index}`, region, availabilityZone, ...address },
      clock: this.clock,
      random: createRandom(index + 1),
      options: this.options,
      seeds: [`10.0.0.1:${FIRST_PORT}`],
      network: this.network,
      platform,
    });
    this.regions.set(host.address, region);
    this.platforms.push(platform);
    this.hosts.push(host);
    this.network.add(host);
    host.start();
  }
}
