import type { Milliseconds } from '@apricotrill/utils';
import type { PlacementCore } from '../decide/PlacementCore/PlacementCore.js';
import type { FleetDuties } from '../duties/FleetDuties/FleetDuties.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';
import type { PathMonitor } from '../paths/PathMonitor/PathMonitor.js';
import type { PeerLink } from '../peers/PeerLink/PeerLink.js';
import type { UpstreamConnections } from '../upstream/UpstreamConnections/UpstreamConnections.js';
import type { StoreLink } from './StoreLink.js';

/** The components whose state the gauges show. */
export interface DaemonGaugeSources {
  core: PlacementCore;
  connections: UpstreamConnections;
  paths: PathMonitor;
  peerLink: PeerLink;
  storeLink: StoreLink;
  /** Returns the names of the ports, and whether each is open. */
  getPorts: () => ReadonlyMap<string, boolean>;
  isReady: () => boolean;
  getConfigurationVersion: () => number | undefined;
  /** Time since this daemon applied the active configuration. */
  getConfigurationAge: () => Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

function getSeconds(duration: Milliseconds): number {
  return duration / MILLISECONDS_PER_SECOND;
}

/** Adds the gauges that show the state of a daemon. */
export function addDaemonGauges(metrics: RelayMetrics, sources: DaemonGaugeSources): void {
  const { core, connections, paths, peerLink, storeLink } = sources;
  metrics.addGauge('open_requests', 'Requests in flight.', () => core.openRequests);
  metrics.addGauge('upstream_connections', 'Open connections to replicas.', () => connections.size);
  metrics.addGauge(
    'unreachable_replicas',
    'Replicas to which the last connection could not be opened.',
    () => paths.failingCount,
  );
  metrics.addGauge(
    'lost_paths',
    'Replicas that other daemons reach and this one does not.',
    () => paths.lostCount,
  );
  metrics.addGauge('isolated', '1 if this daemon reaches no replica, though others do.', () =>
    Number(paths.isIsolated),
  );
  metrics.addGauge(
    'replica_silence_seconds',
    'Time since any replica last sent something to this daemon.',
    () => getSeconds(paths.silence),
  );
  metrics.addGauge('peers', 'Peers that are alive.', () => peerLink.livePeerCount);
  metrics.addGauges('port_open', '1 if the port is open.', 'port', () =>
    [...sources.getPorts()].map(([port, isOpen]) => [port, Number(isOpen)]),
  );
  metrics.addGauge('quarantined_requests', 'Quarantined requests.', () => core.quarantine.size);
  metrics.addGauge('ready', '1 if the daemon is ready for requests.', () =>
    Number(sources.isReady()),
  );
  metrics.addGauge('store_reader', '1 if the daemon reads the store for others.', () =>
    Number(storeLink.isReader),
  );
  metrics.addGauge(
    'configuration_version',
    'Version of the active configuration.',
    () => sources.getConfigurationVersion() ?? 0,
  );
  metrics.addGauge(
    'configuration_age_seconds',
    'Time since the active configuration was applied.',
    () => getSeconds(sources.getConfigurationAge()),
  );
  metrics.addGauges(
    'store_age_seconds',
    'Time since the known objects were the current ones in the store.',
    'object',
    () => storeLink.ages.map(([kind, age]) => [kind, getSeconds(age)]),
  );
  metrics.addGauges(
    'store_reached',
    '1 if the last call to the store succeeded.',
    'object',
    () => storeLink.connectionStates,
  );
  metrics.addGauges(
    'replica_limit',
    'Rate limit stated by the replica, in requests per second.',
    'replica',
    () => core.limits.getRates(),
  );
  metrics.addGauges(
    'replica_rejection_threshold',
    'Requests that the replica can turn away within a second without falling over, as it states.',
    'replica',
    () => core.fragility.getThresholds(),
  );
  metrics.addGauges('waiting_requests', 'Requests waiting for a replica.', 'service', () =>
    core.registry.getWaitingCounts(),
  );
  metrics.addGauges(
    'admission_waiting',
    'Requests of all daemons that wait at this placer for an engine with room.',
    'service',
    () => core.admissionControl.getWaitingCounts(),
  );
  metrics.addGauges('repeats_left', 'Retries left in the retry budget.', 'service', () =>
    core.registry.getRemainingRetries(),
  );
  metrics.addGauges('report_age_seconds', "Age of a replica's last load report.", 'replica', () =>
    core.registry.getReportAges().map(([id, age]) => [id, getSeconds(age)] as const),
  );
}

/** Adds the gauges of a daemon whose platform requires duties. */
export function addDutyGauges(metrics: RelayMetrics, duties: FleetDuties): void {
  metrics.addGauge('duty_holder', '1 if the daemon holds the lease on the duties.', () =>
    Number(duties.status.isHolder),
  );
  metrics.addGauges('usage_windows', 'Usage windows, by outcome.', 'outcome', () => [
    ['reported', duties.status.usageReported],
    ['missed', duties.status.usageMissed],
  ]);
  metrics.addGauges('replicas_ordered', 'Number of replicas in the last order.', 'order', () =>
    duties.status.orders.map(({ service, zone, sort, count }) => [
      `${service} ${zone} ${sort}`,
      count,
    ]),
  );
}
