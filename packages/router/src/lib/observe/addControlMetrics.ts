import type { ClusterCounters } from '@apricotrill/cluster';
import type { TopicTraffic } from '@apricotrill/mesh';
import type { CallCounters } from '@apricotrill/store';
import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/**
 * Where the figures come from: each part counts for itself and is asked only when somebody reads
 * the metrics.
 *
 * @internal
 */
export interface ControlSources {
  getTraffic: () => ReadonlyMap<string, Readonly<TopicTraffic>>;
  /** Undefined until the daemon has joined the others. */
  getCluster: () => Readonly<ClusterCounters> | undefined;
  getStore: () => CallCounters & { bytesSent: number; bytesReceived: number };
}

/** What a counter has reached for some labels. */
interface Reading {
  labels: Record<string, string>;
  value: number;
}

interface CounterDescription {
  name: string;
  help: string;
  labelNames: string[];
}

/** One reading for each entry, with the entry's name as the label's value. */
function getReadings(label: string, values: Record<string, number>): Reading[] {
  return Object.entries(values).map(([name, value]) => ({ labels: { [label]: name }, value }));
}

/** Adds a counter that shows what another part has counted. */
function addCounter(
  registry: Registry,
  description: CounterDescription,
  read: () => Reading[],
): void {
  const counter = new Counter({
    ...description,
    registers: [],
    collect() {
      this.reset();
      read().forEach(({ labels, value }) => this.inc(labels, value));
    },
  });
  registry.registerMetric(counter);
}

function addMeshMetrics(registry: Registry, { getTraffic }: ControlSources): void {
  const read = (getBoth: (traffic: TopicTraffic) => Record<string, number>) =>
    [...getTraffic()].flatMap(([topic, traffic]) =>
      getReadings('direction', getBoth(traffic)).map(({ labels, value }) => ({
        labels: { ...labels, topic },
        value,
      })),
    );
  const labelNames = ['topic', 'direction'];
  addCounter(
    registry,
    {
      name: 'apricotrill_mesh_bytes_total',
      help: 'Bytes of encoded envelopes and answers; HTTP/2 and TCP come on top.',
      labelNames,
    },
    () => read(({ bytesIn, bytesOut }) => ({ in: bytesIn, out: bytesOut })),
  );
  addCounter(
    registry,
    { name: 'apricotrill_mesh_messages_total', help: 'Envelopes and answers.', labelNames },
    () => read(({ messagesIn, messagesOut }) => ({ in: messagesIn, out: messagesOut })),
  );
}

function addClusterMetrics(registry: Registry, { getCluster }: ControlSources): void {
  addCounter(
    registry,
    {
      name: 'apricotrill_cluster_events_total',
      help: 'What membership and the spread of configuration did, by kind.',
      labelNames: ['kind'],
    },
    () => getReadings('kind', { ...getCluster() }),
  );
}

function addStoreMetrics(registry: Registry, { getStore }: ControlSources): void {
  addCounter(
    registry,
    {
      name: 'apricotrill_store_calls_total',
      help: "Calls to the platform's store; reads of the list of instances are not among them.",
      labelNames: ['kind'],
    },
    () => {
      const { reads, writes, watches } = getStore();
      return getReadings('kind', { read: reads, write: writes, watch: watches });
    },
  );
  addCounter(
    registry,
    {
      name: 'apricotrill_store_bytes_total',
      help: 'Bytes in the bodies of calls to the store and their answers; HTTP comes on top.',
      labelNames: ['direction'],
    },
    () => {
      const { bytesSent, bytesReceived } = getStore();
      return getReadings('direction', { in: bytesReceived, out: bytesSent });
    },
  );
  const waiting = new Gauge({
    name: 'apricotrill_store_waiting_watches',
    help: 'Watches open at the store.',
    registers: [],
    collect() {
      this.set(getStore().waitingWatches);
    },
  });
  registry.registerMetric(waiting);
}

/**
 * Adds what control costs a daemon to its metrics: traffic with other daemons, what the cluster
 * did, calls to the store. Nothing is computed between two readings.
 *
 * @param registry - the daemon's metrics
 * @param sources - the parts that count
 * @example
 * ```ts
 * addControlMetrics(registry, { getTraffic: () => mesh.traffic.getTopics(), getCluster, getStore });
 * ```
 * @internal
 */
export function addControlMetrics(registry: Registry, sources: ControlSources): void {
  addMeshMetrics(registry, sources);
  addClusterMetrics(registry, sources);
  addStoreMetrics(registry, sources);
}
