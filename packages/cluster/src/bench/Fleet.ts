import { MANIFEST_KEY, PART_PREFIX } from '@apricotrill/configuration';
import { ObjectStore } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { ClusterOptions } from '../lib/clusterOptions.js';
import { defaultClusterOptions } from '../lib/clusterOptions.js';
import { Carrier } from './SimulatedNetwork.js';
import { CoreHost } from './CoreHost.js';
import { createManifest } from './createManifest.js';
import { StoreLink } from './SimulatedPlatform.js';

/** A deployment to measure. */
export interface FleetSize {
  daemons: number;
  regions: number;
  availabilityZones: number;
}

/** Assumed one way within a region, and between regions. */
const NEAR: Milliseconds = 1.5;
const FAR: Milliseconds = 30;

const START = 1_700_000_000_000;

const STORE_LATENCY: Milliseconds = 5;

const FIRST_PORT = 7000;

/** What all daemons together have done so far. */
export interface FleetCounts {
  messages: number;
  bytes: number;
  storeReads: number;
  watches: number;
}

/** Daemons' cores on one clock, with messages encoded as on the wire. */
export class Fleet {
  readonly clock = new ManualClock(START);

  readonly hosts: CoreHost[] = [];

  readonly platform = {
    isDown: false,
    hasSilentWatches: false,
    latency: STORE_LATENCY,
    getInstances: () => [],
  };

  private readonly objects = new ObjectStore(this.clock);

  private readonly links: StoreLink[] = [];

  private readonly options: ClusterOptions = { ...defaultClusterOptions };

  private readonly regions = new Map<string, string>();

  private readonly carrier: Carrier;

  private messages = 0;

  private bytes = 0;

  private generation = 0;

  constructor(private readonly size: FleetSize) {
    const random = createRandom(size.daemons);
    this.carrier = new Carrier({
      clock: this.clock,
      getFate: (from, to) => {
        const isNear = this.regions.get(from) === this.regions.get(to);
        const delay = (isNear ? NEAR : FAR) * (1 + random.next());
        return { kind: 'carried', delay, copies: 1 };
      },
      onBytes: (_from, _to, bytes) => {
        this.messages += 1;
        this.bytes += bytes;
      },
    });
  }

  /**
   * Starts all daemons and lets them get to know each other by comparing views only: the rumours of
   * so many joins at once would take most of the measurement's time.
   */
  start(): void {
    const { rumourRepeats, syncInterval, syncPageBytes } = this.options;
    Object.assign(this.options, { rumourRepeats: 0, syncInterval: 2000, syncPageBytes: 1e6 });
    for (let index = 0; index < this.size.daemons; index += 1) {
      this.add(index);
      this.clock.advance(10);
    }
    const isKnown = () => this.hosts.every(({ core }) => core.memberCount === this.size.daemons);
    while (!isKnown()) {
      this.clock.advance(1000);
    }
    Object.assign(this.options, { rumourRepeats, syncInterval, syncPageBytes });
  }

  /** Has a change accepted. */
  accept(): number {
    this.generation += 1;
    const { manifest, parts } = createManifest(this.generation);
    parts.forEach(({ hash, text }) => this.objects.put(PART_PREFIX + hash, text, 0));
    const version = this.objects.get(MANIFEST_KEY)?.version ?? 0;
    this.objects.put(MANIFEST_KEY, JSON.stringify(manifest), version);
    return this.generation;
  }

  /** Ends the processes without a word. */
  crash(hosts: readonly CoreHost[]): void {
    hosts.forEach((host) => {
      host.stop();
      this.carrier.remove(host);
      this.hosts.splice(this.hosts.indexOf(host), 1);
    });
  }

  /** How long until the condition holds, looked at every 10 ms. */
  timeUntil(condition: () => boolean): Milliseconds {
    const LOOK = 10;
    const start = this.clock.now();
    while (!condition()) {
      this.clock.advance(LOOK);
    }
    return this.clock.now() - start;
  }

  getCounts(): FleetCounts {
    const sum = (count: 'reads' | 'watches') =>
      this.links.reduce((total, { counts }) => total + counts[count], 0);
    return {
      messages: this.messages,
      bytes: this.bytes,
      storeReads: sum('reads'),
      watches: sum('watches'),
    };
  }

  getWaitingWatches(): number {
    return this.links.reduce((total, { waiting }) => total + waiting, 0);
  }

  dispose(): void {
    this.hosts.forEach((host) => host.stop());
  }

  private add(index: number): void {
    const { regions, availabilityZones } = this.size;
    const region = `region-${index % regions}`;
    const availabilityZone = `zone-${index % availabilityZones}`;
    const address = { host: '10.0.0.1', port: 8080, meshPort: FIRST_PORT + index, adminPort: 8082 };
    const link = new StoreLink(this.clock, this.objects, this.platform);
    const host = new CoreHost({
      self: { id: `daemon-${index}`, region, availabilityZone, ...address },
      clock: this.clock,
      random: createRandom(index + 1),
      options: this.options,
      seeds: [`10.0.0.1:${FIRST_PORT}`],
      carrier: this.carrier,
      store: link,
    });
    this.regions.set(host.address, region);
    this.links.push(link);
    this.hosts.push(host);
    this.carrier.add(host);
    host.start();
  }
}
