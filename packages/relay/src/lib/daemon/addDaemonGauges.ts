import type { Milliseconds } from '@apricotrill/utils';
import type { PlacementCore } from '../decide/PlacementCore/PlacementCore.js';
import type { FleetDuties } from '../duties/FleetDuties/FleetDuties.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import type { PeerLink } from '../peers/PeerLink/PeerLink.js';
import type { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';
import type { StoreLink } from './StoreLink.js';

/** What the gauges are read from. */
export interface DaemonView {
  core: PlacementCore;
  connections: UpstreamConnections;
  link: PeerLink;
  store: StoreLink;
  isReady: () => boolean;
  getVersion: () => number | undefined;
  /** How long the configuration has been in force here. */
  getVersionAge: () => Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

function getSeconds(span: Milliseconds): number {
  return span / MILLISECONDS_PER_SECOND;
}

/** Adds the gauges that show what a daemon believes and has under way. */
export function addDaemonGauges(metrics: RelayMetrics, view: DaemonView): void {
  const { core, connections, link, store } = view;
  metrics.addGauge('open_requests', 'Requests under way.', () => core.openRequests);
  metrics.addGauge('upstream_connections', 'Open to replicas.', () => connections.size);
  metrics.addGauge('peers', 'Other daemons that are heard.', () => link.livePeerCount);
  metrics.addGauge(
    'quarantined_requests',
    'Requests that are rejected.',
    () => core.quarantine.size,
  );
  metrics.addGauge('ready', '1 while new callers are welcome.', () => Number(view.isReady()));
  metrics.addGauge('store_reader', '1 while it reads the store for others.', () =>
    Number(store.isReader),
  );
  metrics.addGauge('configuration_version', 'In force here.', () => view.getVersion() ?? 0);
  metrics.addGauge('configuration_age_seconds', 'Since it came into force here.', () =>
    getSeconds(view.getVersionAge()),
  );
  metrics.addGauges(
    'store_reached',
    '1 where the last call was answered.',
    'object',
    () => store.states,
  );
  metrics.addGauges('replica_limit', 'Requests a second, as stated.', 'replica', () =>
    core.limits.getRates(),
  );
  metrics.addGauges('waiting_requests', 'Without a place at a replica.', 'service', () =>
    core.registry.getWaitingCounts(),
  );
  metrics.addGauges('repeats_left', 'Repeats that may be sent now.', 'service', () =>
    core.registry.getRemainingRetries(),
  );
  metrics.addGauges('report_age_seconds', "Of a replica's last word.", 'replica', () =>
    core.registry.getReportAges().map(([id, age]) => [id, getSeconds(age)] as const),
  );
}

/** Adds the gauges of a daemon whose platform wants duties carried out. */
export function addDutyGauges(metrics: RelayMetrics, duties: FleetDuties): void {
  metrics.addGauge('duty_holder', '1 while it carries out the duties of the fleet.', () =>
    Number(duties.status.isHolder),
  );
  metrics.addGauges('usage_windows', 'Windows of usage, by what became of them.', 'outcome', () => [
    ['reported', duties.status.usageReported],
    ['missed', duties.status.usageMissed],
  ]);
  metrics.addGauges('replicas_ordered', 'Replicas last ordered.', 'order', () =>
    duties.status.orders.map(({ service, zone, sort, count }) => [
      `${service} ${zone} ${sort}`,
      count,
    ]),
  );
}
