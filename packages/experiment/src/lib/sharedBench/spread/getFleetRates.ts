import type { CallCounters } from '@apricotrill/store';
import type { DaemonSample, FleetSample } from './FleetSample.js';

const MILLISECONDS_PER_SECOND = 1000;

/** Calls at the platform that count against its rates. */
export type Calls = Pick<CallCounters, 'reads' | 'writes' | 'watches'>;

/** What one daemon used in a second. */
export interface DaemonRates {
  /** Part of one core. */
  core: number;
  meshBytes: number;
  meshBytesByTopic: Record<string, number>;
  meshMessages: number;
  platformBytes: number;
  /** By the kernel: everything, also framing, load questions and logs. */
  ioBytes: number;
  events: Record<string, number>;
  /** At the end of the span. */
  heapBytes: number;
}

/** What a fleet used in a second. */
export interface FleetRates {
  /** Of all daemons together. */
  calls: Calls;
  daemons: DaemonRates[];
}

function sumValues(values: Record<string, number>): number {
  return Object.values(values).reduce((sum, value) => sum + value, 0);
}

function getDifferences(
  before: Record<string, number>,
  after: Record<string, number>,
  seconds: number,
): Record<string, number> {
  return Object.fromEntries(
    Object.entries(after).map(([name, value]) => [name, (value - (before[name] ?? 0)) / seconds]),
  );
}

function getDaemonRates(before: DaemonSample, after: DaemonSample, seconds: number): DaemonRates {
  const span = after.at - before.at;
  const perSecond = (from: number, to: number) => ((to - from) * MILLISECONDS_PER_SECOND) / span;
  return {
    core: (after.processorTime - before.processorTime) / span,
    ioBytes: perSecond(before.ioBytes, after.ioBytes),
    meshBytes: (sumValues(after.meshBytes) - sumValues(before.meshBytes)) / seconds,
    meshBytesByTopic: getDifferences(before.meshBytes, after.meshBytes, seconds),
    meshMessages: (after.meshMessages - before.meshMessages) / seconds,
    platformBytes: (after.platformBytes - before.platformBytes) / seconds,
    events: getDifferences(before.events, after.events, seconds),
    heapBytes: after.heapBytes,
  };
}

/**
 * What was used between two samples, per second.
 *
 * @param before - with the daemons in the same order as `after`
 * @example
 * ```ts
 * const { calls, daemons } = getFleetRates(begin, end);
 * ```
 * @internal
 */
export function getFleetRates(before: FleetSample, after: FleetSample): FleetRates {
  const seconds = (after.at - before.at) / MILLISECONDS_PER_SECOND;
  const getRate = (kind: keyof Calls) => (after.calls[kind] - before.calls[kind]) / seconds;
  return {
    calls: { reads: getRate('reads'), writes: getRate('writes'), watches: getRate('watches') },
    daemons: after.daemons.map((daemon, index) =>
      getDaemonRates(before.daemons[index]!, daemon, seconds),
    ),
  };
}
