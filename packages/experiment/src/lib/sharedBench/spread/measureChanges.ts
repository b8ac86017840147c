import { max, median } from 'simple-statistics';
import type { Milliseconds } from '@apricotrill/utils';
import { getSpread } from '../../report/getSpread.js';
import type { Spread } from '../../report/getSpread.js';
import { editWeight } from '../createFleetConfiguration.js';
import { wait } from '../processes/waitUntil.js';
import type { SharedFleet } from '../SharedFleet.js';
import { takeSample } from './FleetSample.js';
import { getFleetRates } from './getFleetRates.js';
import type { Calls, DaemonRates } from './getFleetRates.js';
import { getMean, getMeans } from './getMeans.js';
import { getIdleMeans } from './measureIdle.js';
import type { IdleReading } from './measureIdle.js';

const MILLISECONDS_PER_SECOND = 1000;

/** A daemon at which a change is not in force by then counts as missed. */
const LIMIT: Milliseconds = 60_000;

/** After a change is in force everywhere, gossip of it still goes on for a while. */
const SETTLING: Milliseconds = 4000;

/** One accepted change. */
interface Change {
  /** From acceptance, daemon by daemon; a missed one is absent. */
  latencies: Milliseconds[];
  missed: number;
  /** Of all daemons, above idle. */
  calls: Calls;
  /** Of the operator who made it. */
  operatorCalls: number;
  /** Per daemon, above idle. */
  meshBytes: number;
  platformBytes: number;
  ioBytes: number;
  processorTime: Milliseconds;
  /** What membership and spread did at all daemons, by kind, above idle. */
  events: Record<string, number>;
}

/** What accepted changes cost and how fast they come. Spreads are over changes. */
export interface ChangesReading {
  changes: number;
  /** Daemons at which a change did not come into force, over all changes. */
  missed: number;
  /** From acceptance to in force at the middle daemon, and at the last one. */
  middle: Spread;
  worst: Spread;
  /** Over all daemons and changes. */
  latencies: Milliseconds[];
  calls: Record<keyof Calls, Spread>;
  operatorCalls: Spread;
  meshBytes: Spread;
  platformBytes: Spread;
  ioBytes: Spread;
  processorTime: Spread;
  /** What membership and spread did at all daemons for a change, by kind, above idle; means. */
  events: Record<string, number>;
}

async function makeChange(fleet: SharedFleet, turn: number) {
  const { generation, acceptedAt } = await fleet.apply(editWeight(fleet.configuration, turn));
  const times = await Promise.all(
    fleet.daemons.map(({ inForce }) => inForce.waitFor(generation, LIMIT)),
  );
  const latencies = times.flatMap((at) => (at === undefined ? [] : [at - acceptedAt]));
  return { latencies, missed: times.length - latencies.length };
}

function countOperatorCalls(fleet: SharedFleet): number {
  const { reads, writes, watches } = fleet.getOperatorCalls();
  return reads + writes + watches;
}

function getEvents(
  daemons: readonly DaemonRates[],
  idle: Record<string, number>,
  span: Milliseconds,
): Record<string, number> {
  const seconds = (daemons.length * span) / MILLISECONDS_PER_SECOND;
  const means = getMeans(daemons.map(({ events }) => events));
  return Object.fromEntries(
    Object.entries(means).map(([kind, rate]) => [kind, (rate - (idle[kind] ?? 0)) * seconds]),
  );
}

async function measureChange(
  fleet: SharedFleet,
  turn: number,
  listBytes: number,
  idle: ReturnType<typeof getIdleMeans>,
): Promise<Change> {
  const operatorCalls = countOperatorCalls(fleet);
  const before = await takeSample(fleet, 'begin', listBytes);
  const made = await makeChange(fleet, turn);
  await wait(SETTLING);
  const after = await takeSample(fleet, 'end', listBytes);
  const { calls, daemons } = getFleetRates(before, after);
  const span = after.at - before.at;
  const getCost = (rate: number, idleRate: number) =>
    ((rate - idleRate) * span) / MILLISECONDS_PER_SECOND;
  const getDaemonCost = (kind: 'meshBytes' | 'platformBytes' | 'ioBytes') =>
    getCost(getMean(daemons.map((daemon) => daemon[kind])), idle[kind]);
  return {
    ...made,
    operatorCalls: countOperatorCalls(fleet) - operatorCalls,
    calls: {
      reads: getCost(calls.reads, idle.calls.reads),
      writes: getCost(calls.writes, idle.calls.writes),
      watches: getCost(calls.watches, idle.calls.watches),
    },
    meshBytes: getDaemonCost('meshBytes'),
    platformBytes: getDaemonCost('platformBytes'),
    ioBytes: getDaemonCost('ioBytes'),
    events: getEvents(daemons, idle.events, span),
    processorTime: (getMean(daemons.map(({ core }) => core)) - idle.core) * span,
  };
}

function summarise(changes: Change[]): ChangesReading {
  const reached = changes.filter(({ latencies }) => latencies.length > 0);
  const getFigure = (get: (change: Change) => number) => getSpread(changes.map(get));
  return {
    changes: changes.length,
    missed: changes.reduce((sum, { missed }) => sum + missed, 0),
    middle: getSpread(reached.map(({ latencies }) => median(latencies))),
    worst: getSpread(reached.map(({ latencies }) => max(latencies))),
    latencies: changes.flatMap(({ latencies }) => latencies),
    calls: {
      reads: getFigure(({ calls }) => calls.reads),
      writes: getFigure(({ calls }) => calls.writes),
      watches: getFigure(({ calls }) => calls.watches),
    },
    operatorCalls: getFigure(({ operatorCalls }) => operatorCalls),
    meshBytes: getFigure(({ meshBytes }) => meshBytes),
    platformBytes: getFigure(({ platformBytes }) => platformBytes),
    ioBytes: getFigure(({ ioBytes }) => ioBytes),
    processorTime: getFigure(({ processorTime }) => processorTime),
    events: getMeans(changes.map(({ events }) => events)),
  };
}

/**
 * Has changes accepted one after the other, and measures each until gossip of it is over.
 *
 * @param idle - what the same fleet costs without changes
 * @internal
 */
export async function measureChanges(
  fleet: SharedFleet,
  count: number,
  idle: IdleReading,
): Promise<ChangesReading> {
  const listBytes = await fleet.platform.getListBytes();
  const means = getIdleMeans(idle);
  const changes: Change[] = [];
  for (let turn = 1; turn <= count; turn += 1) {
    // One after the other.
    // eslint-disable-next-line no-await-in-loop
    changes.push(await measureChange(fleet, turn, listBytes, means));
  }
  return summarise(changes);
}
