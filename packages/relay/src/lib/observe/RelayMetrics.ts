import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { LabelSet, MOST_LABELS } from './LabelSet.js';

/** What is counted of a request that is over. */
export interface EndedRequest {
  route: string;
  workspace: string;
  kind: string;
  priority: number;
  outcome: string;
  reason: string;
}

/** Spans from a few milliseconds to the longest timeouts in use, in seconds. */
const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 4, 8, 16];

/**
 * How often the event loop's delay is looked at, in milliseconds; the library's 10 wake an idle
 * daemon a hundred times a second.
 */
const EVENT_LOOP_PRECISION = 100;

/** The daemon's metrics, under names that follow the conventions of Prometheus. */
export class RelayMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: 'apricotrill_relay_requests_total',
    help: 'Requests that are over, by route kind and by what became of them.',
    labelNames: ['route', 'kind', 'priority', 'outcome', 'reason'],
    registers: [this.registry],
  });

  readonly workspaceRequests = new Counter({
    name: 'apricotrill_relay_workspace_requests_total',
    help: 'Requests that are over, by workspace and by what became of them.',
    labelNames: ['workspace', 'outcome'],
    registers: [this.registry],
  });

  readonly rejections = new Counter({
    name: 'apricotrill_relay_rejections_total',
    help: 'Requests answered before any replica was chosen, by status.',
    labelNames: ['status'],
    registers: [this.registry],
  });

  readonly admissionWait = new Histogram({
    name: 'apricotrill_relay_admission_wait_seconds',
    help: 'From the arrival of a request to its first attempt.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly pauses = new Histogram({
    name: 'apricotrill_relay_stream_pause_seconds',
    help: 'Pauses between two pieces of a stream as they reach the daemon.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly attempts = new Counter({
    name: 'apricotrill_relay_attempts_total',
    help: 'Attempts at replicas, by service and end.',
    labelNames: ['service', 'end'],
    registers: [this.registry],
  });

  readonly firstByte = new Histogram({
    name: 'apricotrill_relay_first_byte_seconds',
    help: 'From the arrival of a request to the first byte of its answer.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly whole = new Histogram({
    name: 'apricotrill_relay_answer_seconds',
    help: 'From the arrival of a request to the last byte of its answer.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly replicaCrashes = new Counter({
    name: 'apricotrill_relay_replica_crashes_total',
    help: 'Crashes of replicas with requests of this daemon under way.',
    registers: [this.registry],
  });

  readonly connectionsOpened = new Counter({
    name: 'apricotrill_relay_upstream_connections_opened_total',
    help: 'Connections opened to replicas, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });

  readonly storeCalls = new Counter({
    name: 'apricotrill_relay_store_calls_total',
    help: "Calls to the platform's store, by kind of object and outcome.",
    labelNames: ['object', 'outcome'],
    registers: [this.registry],
  });

  readonly entriesRefused = new Counter({
    name: 'apricotrill_relay_entries_refused_total',
    help: 'Entries in the store that could not be read, each time that they came.',
    labelNames: ['object'],
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION,
    });
  }

  private readonly routes = new LabelSet();

  private readonly workspaces = new LabelSet();

  /** A request is over. */
  countRequest({ route, workspace, kind, priority, outcome, reason }: EndedRequest): void {
    const name = this.routes.get(route);
    this.requests.inc({ route: name, kind, priority, outcome, reason });
    this.workspaceRequests.inc({ workspace: this.workspaces.get(workspace), outcome });
  }

  /** Adds a gauge with one value for each of a bounded set of names, read when the metrics are. */
  addGauges(
    name: string,
    help: string,
    label: string,
    read: () => Iterable<readonly [string, number]>,
  ): void {
    const gauge: Gauge = new Gauge({
      name: `apricotrill_relay_${name}`,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect(): void {
        // What is gone must not be shown with its last value for ever.
        gauge.reset();
        [...read()]
          .slice(0, MOST_LABELS)
          .forEach(([value, number]) => gauge.set({ [label]: value }, number));
      },
    });
  }

  /** Adds a gauge that is read when the metrics are. */
  addGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `apricotrill_relay_${name}`,
      help,
      registers: [this.registry],
      collect(): void {
        gauge.set(read());
      },
    });
  }
}
