import type { CallCounters } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import type { DaemonProcess } from '../processes/DaemonProcess.js';
import { groupMetric, sumMetric } from '../processes/parseMetrics.js';
import { readDetailedUsage } from '../processes/readDetailedUsage.js';
import type { DetailedUsage } from '../processes/readDetailedUsage.js';
import type { SharedFleet } from '../SharedFleet.js';

/** What a daemon has counted of its own control. */
export interface DaemonCounts {
  /** Both ways, by topic. */
  meshBytes: Record<string, number>;
  meshMessages: number;
  /** Bodies of calls to the store, both ways, and of the lists of instances. */
  platformBytes: number;
  /** What membership and spread did, by kind. */
  events: Record<string, number>;
  /** JavaScript's heap in use. */
  heapBytes: number;
}

/** One daemon at one moment. */
export interface DaemonSample extends DetailedUsage, DaemonCounts {
  at: Milliseconds;
}

/** The whole fleet at about one moment. */
export interface FleetSample {
  at: Milliseconds;
  /** Calls to the platform by the daemons: all but this tool's. */
  calls: CallCounters;
  daemons: DaemonSample[];
}

async function readCounts(daemon: DaemonProcess, listBytes: number): Promise<DaemonCounts> {
  const metrics = await daemon.getMetrics();
  const events = groupMetric(metrics, 'apricotrill_cluster_events_total', 'kind');
  const storeBytes = sumMetric(metrics, 'apricotrill_store_bytes_total');
  return {
    meshBytes: groupMetric(metrics, 'apricotrill_mesh_bytes_total', 'topic'),
    meshMessages: sumMetric(metrics, 'apricotrill_mesh_messages_total'),
    platformBytes: storeBytes + (events.listReads ?? 0) * listBytes,
    events,
    heapBytes: sumMetric(metrics, 'apricotrill_nodejs_heap_size_used_bytes'),
  };
}

function readUsage(daemon: DaemonProcess): DetailedUsage & { at: Milliseconds } {
  return { at: performance.now(), ...readDetailedUsage(daemon.pid) };
}

async function readCalls(fleet: SharedFleet): Promise<CallCounters> {
  const operator = fleet.getOperatorCalls();
  const all = await fleet.platform.getCounters();
  return {
    reads: all.reads - operator.reads,
    writes: all.writes - operator.writes,
    watches: all.watches - operator.watches,
    waitingWatches: all.waitingWatches - operator.waitingWatches,
  };
}

/**
 * Takes a sample. Reading a daemon's metrics costs it processor time and bytes: at the beginning
 * of a span the kernel's figures are read last, at its end first, so that they are without it.
 *
 * @param listBytes - the length of the list of instances
 * @internal
 */
export async function takeSample(
  fleet: SharedFleet,
  edge: 'begin' | 'end',
  listBytes: number,
): Promise<FleetSample> {
  const { daemons } = fleet;
  const early = daemons.map(readUsage);
  const calls = await readCalls(fleet);
  const at = performance.now();
  const counts = await Promise.all(daemons.map((daemon) => readCounts(daemon, listBytes)));
  const usages = edge === 'end' ? early : daemons.map(readUsage);
  return {
    at,
    calls,
    daemons: counts.map((one, index) => ({ ...usages[index]!, ...one })),
  };
}
