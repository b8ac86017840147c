import type { Milliseconds } from '@apricotrill/utils';
import { getSpread } from '../../report/getSpread.js';
import type { Spread } from '../../report/getSpread.js';
import { readDetailedUsage } from '../processes/readDetailedUsage.js';
import { wait } from '../processes/waitUntil.js';
import type { SharedFleet } from '../SharedFleet.js';
import { takeSample } from './FleetSample.js';
import { getFleetRates } from './getFleetRates.js';
import type { Calls, FleetRates } from './getFleetRates.js';
import { getMean, getMeans } from './getMeans.js';

/** How long and how often to look. */
export interface IdleSettings {
  windows: number;
  /** Long against a tick of the kernel's clock: 10 ms are 0.05% of 20 s. */
  window: Milliseconds;
}

/** What a fleet without callers costs. Spreads are over daemons and windows. */
export interface IdleReading {
  /** Part of one core. */
  core: Spread;
  /** Per daemon and second, between daemons: envelopes and answers. */
  meshBytes: Spread;
  /** The same by topic; means. */
  meshBytesByTopic: Record<string, number>;
  meshMessages: Spread;
  /** Per daemon and second, with the platform: bodies. */
  platformBytes: Spread;
  /** Per daemon and second, by the kernel: everything read and written. */
  ioBytes: Spread;
  /** Per second, all daemons together; the spread is over windows. */
  calls: Record<keyof Calls, Spread>;
  waitingWatches: number;
  /** What membership and spread did per daemon and second; means. */
  events: Record<string, number>;
  residentBytes: Spread;
  anonymousBytes: Spread;
  heapBytes: Spread;
}

async function measureWindows(
  fleet: SharedFleet,
  { windows, window }: IdleSettings,
): Promise<FleetRates[]> {
  const listBytes = await fleet.platform.getListBytes();
  const rates: FleetRates[] = [];
  for (let index = 0; index < windows; index += 1) {
    // One window after the other.
    // eslint-disable-next-line no-await-in-loop
    const before = await takeSample(fleet, 'begin', listBytes);
    // eslint-disable-next-line no-await-in-loop
    await wait(window);
    // eslint-disable-next-line no-await-in-loop
    rates.push(getFleetRates(before, await takeSample(fleet, 'end', listBytes)));
  }
  return rates;
}

/**
 * Measures a fleet that nobody calls and nothing changes in.
 *
 * @example
 * ```ts
 * const { core } = await measureIdle(fleet, { windows: 3, window: 20_000 });
 * ```
 * @internal
 */
export async function measureIdle(
  fleet: SharedFleet,
  settings: IdleSettings,
): Promise<IdleReading> {
  const windows = await measureWindows(fleet, settings);
  const daemons = windows.flatMap((window) => window.daemons);
  const usages = fleet.daemons.map(({ pid }) => readDetailedUsage(pid));
  const getCalls = (kind: keyof Calls) => getSpread(windows.map(({ calls }) => calls[kind]));
  return {
    core: getSpread(daemons.map(({ core }) => core)),
    meshBytes: getSpread(daemons.map(({ meshBytes }) => meshBytes)),
    meshBytesByTopic: getMeans(daemons.map(({ meshBytesByTopic }) => meshBytesByTopic)),
    meshMessages: getSpread(daemons.map(({ meshMessages }) => meshMessages)),
    platformBytes: getSpread(daemons.map(({ platformBytes }) => platformBytes)),
    ioBytes: getSpread(daemons.map(({ ioBytes }) => ioBytes)),
    calls: { reads: getCalls('reads'), writes: getCalls('writes'), watches: getCalls('watches') },
    waitingWatches: (await fleet.platform.getCounters()).waitingWatches,
    events: getMeans(daemons.map(({ events }) => events)),
    residentBytes: getSpread(usages.map(({ residentBytes }) => residentBytes)),
    anonymousBytes: getSpread(usages.map(({ anonymousBytes }) => anonymousBytes)),
    heapBytes: getSpread(daemons.map(({ heapBytes }) => heapBytes)),
  };
}

/** The means that a change's cost is counted above. */
export function getIdleMeans(idle: IdleReading): {
  calls: Calls;
  core: number;
  meshBytes: number;
  platformBytes: number;
  ioBytes: number;
  events: Record<string, number>;
} {
  const { reads, writes, watches } = idle.calls;
  return {
    calls: {
      reads: getMean(reads.values),
      writes: getMean(writes.values),
      watches: getMean(watches.values),
    },
    core: getMean(idle.core.values),
    meshBytes: getMean(idle.meshBytes.values),
    platformBytes: getMean(idle.platformBytes.values),
    ioBytes: getMean(idle.ioBytes.values),
    events: idle.events,
  };
}
