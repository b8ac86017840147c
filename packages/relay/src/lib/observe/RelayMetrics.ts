import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { AdmissionMetrics } from './AdmissionMetrics.js';
import { LabelSet, MAX_LABELS } from './LabelSet.js';

/** The labels under which a finished request is counted. */
export interface FinishedRequest {
  route: string;
  workspace: string;
  kind: string;
  priority: number;
  outcome: string;
  reason: string;
}

/** From a few milliseconds to the longest timeouts in use, in seconds. */
const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 4, 8, 16];

/**
 * How often the event loop delay is sampled, in milliseconds. The library's default of 10 wakes an idle
 * daemon a hundred times per second.
 */
const EVENT_LOOP_SAMPLING_INTERVAL = 100;

/** The daemon's metrics, with names that follow the Prometheus conventions. */
export class RelayMetrics {
  readonly registry = new Registry();

  readonly requests = new Counter({
    name: 'apricotrill_relay_requests_total',
    help: 'Finished requests, by route, kind, priority, outcome and reason.',
    labelNames: ['route', 'kind', 'priority', 'outcome', 'reason'],
    registers: [this.registry],
  });

  readonly workspaceRequests = new Counter({
    name: 'apricotrill_relay_workspace_requests_total',
    help: 'Finished requests, by workspace and outcome.',
    labelNames: ['workspace', 'outcome'],
    registers: [this.registry],
  });

  readonly rejections = new Counter({
    name: 'apricotrill_relay_rejections_total',
    help: 'Requests rejected before a replica was selected, by status.',
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

  readonly streamPauses = new Histogram({
    name: 'apricotrill_relay_stream_pause_seconds',
    help: 'Pauses between consecutive chunks of a stream as received by the daemon.',
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

  readonly responses = new Counter({
    name: 'apricotrill_relay_responses_total',
    help: 'Responses of replicas, by service, framing and end of the attempt.',
    labelNames: ['service', 'framing', 'end'],
    registers: [this.registry],
  });

  readonly endChecks = new Counter({
    name: 'apricotrill_relay_end_checks_total',
    help: 'Checks whether replicas still run after responses that ended with their connection, by service and evidence.',
    labelNames: ['service', 'evidence'],
    registers: [this.registry],
  });

  readonly firstByteTime = new Histogram({
    name: 'apricotrill_relay_first_byte_seconds',
    help: 'From the arrival of a request to the first byte of its response.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly responseTime = new Histogram({
    name: 'apricotrill_relay_answer_seconds',
    help: 'From the arrival of a request to the last byte of its response.',
    labelNames: ['kind'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  });

  readonly replicaNotices = new Counter({
    name: 'apricotrill_relay_replica_notices_total',
    help: 'Responses in which a replica announces something about itself, by service and notice.',
    labelNames: ['service', 'notice'],
    registers: [this.registry],
  });

  readonly replicaCrashes = new Counter({
    name: 'apricotrill_relay_replica_crashes_total',
    help: 'Crashes of replicas with requests of this daemon in flight.',
    registers: [this.registry],
  });

  readonly quarantines = new Counter({
    name: 'apricotrill_relay_quarantines_total',
    help: 'Requests and parts of prompts that were quarantined because they crash replicas.',
    registers: [this.registry],
  });

  readonly memoryRefusals = new Counter({
    name: 'apricotrill_relay_memory_refusals_total',
    help: 'Requests refused unread because this daemon holds as much as its memory allows.',
    registers: [this.registry],
  });

  readonly responsesPaused = new Counter({
    name: 'apricotrill_relay_responses_paused_total',
    help: 'Times that reading the response of a replica stopped, because of the caller or of memory.',
    labelNames: ['reason'],
    registers: [this.registry],
  });

  readonly requestFaults = new Counter({
    name: 'apricotrill_relay_request_faults_total',
    help: 'Requests that were ended by an unexpected error in this daemon.',
    registers: [this.registry],
  });

  readonly processFaults = new Counter({
    name: 'apricotrill_relay_process_faults_total',
    help: 'Unexpected errors in this daemon that no handler has caught.',
    registers: [this.registry],
  });

  readonly connectionsRefused = new Counter({
    name: 'apricotrill_relay_caller_connections_refused_total',
    help: 'Connections of callers that were closed unread because this daemon is overloaded.',
    registers: [this.registry],
  });

  readonly connectionsOpened = new Counter({
    name: 'apricotrill_relay_upstream_connections_opened_total',
    help: 'Connections opened to replicas, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });

  readonly connectionFailures = new Counter({
    name: 'apricotrill_relay_upstream_connection_failures_total',
    help: 'Connections to replicas that could not be opened, by service and failure.',
    labelNames: ['service', 'failure'],
    registers: [this.registry],
  });

  readonly pathsLost = new Counter({
    name: 'apricotrill_relay_paths_lost_total',
    help: 'Replicas that other daemons reached and this one did not, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });

  readonly forwardedAttempts = new Counter({
    name: 'apricotrill_relay_forwarded_attempts_total',
    help: 'Attempts of this daemon that were sent through another one, by service.',
    labelNames: ['service'],
    registers: [this.registry],
  });

  readonly forwardedForPeers = new Counter({
    name: 'apricotrill_relay_forwarded_for_peers_total',
    help: 'Attempts of other daemons that this one was to forward, by result.',
    labelNames: ['result'],
    registers: [this.registry],
  });

  readonly groupChoices = new Counter({
    name: 'apricotrill_relay_group_choices_total',
    help: 'Choices of a group of replicas for a request, by service, group and reason.',
    labelNames: ['service', 'group', 'reason'],
    registers: [this.registry],
  });

  readonly resumptions = new Counter({
    name: 'apricotrill_relay_resumptions_total',
    help: 'Returns of callers that resume a stream, by where its software version is known from.',
    labelNames: ['source'],
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
    help: 'Invalid entries in the store, counted each time they are read.',
    labelNames: ['object'],
    registers: [this.registry],
  });

  readonly admission = new AdmissionMetrics(this.registry, LATENCY_BUCKETS);

  readonly unreadable = new Counter({
    name: 'apricotrill_relay_unreadable_total',
    help: 'Statements of callers and replicas that could not be read and count as not made, by kind.',
    labelNames: ['kind'],
    registers: [this.registry],
  });

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLING_INTERVAL,
    });
  }

  private readonly routes = new LabelSet();

  private readonly workspaces = new LabelSet();

  private readonly groups = new LabelSet();

  /** Counts a finished request. */
  countRequest({ route, workspace, kind, priority, outcome, reason }: FinishedRequest): void {
    const name = this.routes.get(route);
    this.requests.inc({ route: name, kind, priority, outcome, reason });
    this.workspaceRequests.inc({ workspace: this.workspaces.get(workspace), outcome });
  }

  /** Counts a request of a service under admission control that is sent to a group of replicas. */
  countGroupChoice(service: string, group: string, reason: string): void {
    this.groupChoices.inc({ service, group: this.groups.get(group), reason });
  }

  /** Adds a gauge with one value per label, up to the label limit; read at each scrape. */
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
        // Removes values of labels that no longer exist.
        gauge.reset();
        [...read()]
          .slice(0, MAX_LABELS)
          .forEach(([value, number]) => gauge.set({ [label]: value }, number));
      },
    });
  }

  /** Adds a gauge that is read at each scrape. */
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
