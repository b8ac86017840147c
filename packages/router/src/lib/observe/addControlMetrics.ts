import type { ClusterCounters } from '@apricotrill/cluster';
import type { TopicTraffic } from '@apricotrill/mesh';
import type { CallCounters } from '@apricotrill/store';
import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

/**
 * The sources of the control metrics. Each component keeps its own counters, which are read only when
 * the metrics are scraped.
 *
 * @internal
 */
export interface ControlMetricSources {
  getTraffic: () => ReadonlyMap<string, Readonly<TopicTraffic>>;
  /** Returns undefined until the daemon has joined the cluster. */
  getCluster: () => Readonly<ClusterCounters> | undefined;
  getStore: () => CallCounters & { bytesSent: number; bytesReceived: number };
}

/** The value of a counter for a set of labels. */
interface Sample {
  labels: Record<string, string>;
  value: number;
}

interface CounterDescription {
  name: string;
  help: string;
  labelNames: string[];
}

/** Returns one sample per entry, with the entry's key as the value of the label. */
function getSamples(label: string, values: Record<string, number>): Sample[] {
  return Object.entries(values).map(([name, value]) => ({ labels: { [label]: name }, value }));
}

/** Adds a counter that exposes the counts kept by another component. */
function addCounter(
  registry: Registry,
  description: CounterDescription,
  collectSamples: () => Sample[],
): void {
  const counter = new Counter({
    ...description,
    registers: [],
    collect() {
      this.reset();
      collectSamples().forEach(({ labels, value }) => this.inc(labels, value));
    },
  });
  registry.registerMetric(counter);
}

function addMeshMetrics(registry: Registry, { getTraffic }: ControlMetricSources): void {
  const collectSamples = (getValues: (traffic: TopicTraffic) => Record<string, number>) =>
    [...getTraffic()].flatMap(([topic, traffic]) =>
      getSamples('direction', getValues(traffic)).map(({ labels, value }) => ({
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
    () => collectSamples(({ bytesIn, bytesOut }) => ({ in: bytesIn, out: bytesOut })),
  );
  addCounter(
    registry,
    { name: 'apricotrill_mesh_messages_total', help: 'Envelopes and answers.', labelNames },
    () => collectSamples(({ messagesIn, messagesOut }) => ({ in: messagesIn, out: messagesOut })),
  );
}

function addClusterMetrics(registry: Registry, { getCluster }: ControlMetricSources): void {
  addCounter(
    registry,
    {
      name: 'apricotrill_cluster_events_total',
      help: 'What membership and the spread of configuration did, by kind.',
      labelNames: ['kind'],
    },
    () => getSamples('kind', { ...getCluster() }),
  );
}

function addStoreMetrics(registry: Registry, { getStore }: ControlMetricSources): void {
  addCounter(
    registry,
    {
      name: 'apricotrill_store_calls_total',
      help: "Calls to the platform's store; reads of the list of instances are not among them.",
      labelNames: ['kind'],
    },
    () => {
      const { reads, writes, watches } = getStore();
      return getSamples('kind', { read: reads, write: writes, watch: watches });
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
      return getSamples('direction', { in: bytesReceived, out: bytesSent });
    },
  );
  const waitingWatches = new Gauge({
    name: 'apricotrill_store_waiting_watches',
    help: 'Watches open at the store.',
    registers: [],
    collect() {
      this.set(getStore().waitingWatches);
    },
  });
  registry.registerMetric(waitingWatches);
}

/**
 * Adds metrics of the cost of control: traffic with peers, cluster events, and calls to the store.
 * Nothing is computed between scrapes.
 *
 * @param registry - the registry of the daemon's metrics
 * @param sources - the components that keep the counters
 * @example
 * ```ts
 * addControlMetrics(registry, { getTraffic: () => mesh.traffic.getTopics(), getCluster, getStore });
 * ```
 * @internal
 */
export function addControlMetrics(registry: Registry, sources: ControlMetricSources): void {
  addMeshMetrics(registry, sources);
  addClusterMetrics(registry, sources);
  addStoreMetrics(registry, sources);
}
