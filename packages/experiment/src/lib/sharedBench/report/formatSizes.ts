import { markdownTable } from 'markdown-table';
import { max, mean } from 'simple-statistics';
import { formatCount, formatPercent } from '../../report/format.js';
import type { Spread } from '../../report/getSpread.js';
import type { SharedReading, SizeReading } from '../SharedReading.js';

const KILOBYTE = 1000;

const MEBIBYTE = 2 ** 20;

/** A figure and how it is read from what was measured at one size. */
type Row = [name: string, read: (size: SizeReading) => string];

function scale({ median, min, max: highest, values }: Spread, unit: number): Spread {
  return {
    median: median / unit,
    min: min / unit,
    max: highest / unit,
    values: values.map((value) => value / unit),
  };
}

function formatKilobytes(spread: Spread): string {
  return formatCount(scale(spread, KILOBYTE), 2);
}

function formatTopics(bytes: Record<string, number>): string {
  return Object.entries(bytes)
    .sort(([, left], [, right]) => right - left)
    .map(([topic, value]) => `${topic} ${(value / KILOBYTE).toFixed(2)}`)
    .join(', ');
}

function formatCalls(calls: Record<string, Spread>, parts = 1): string {
  return Object.entries(calls)
    .map(([kind, spread]) => `${kind} ${formatCount(scale(spread, parts), 2)}`)
    .join('; ');
}

/** Counts of single calls: their means say more than medians, which are whole numbers or 0. */
function formatMeanCalls(calls: Record<string, Spread>): string {
  return Object.entries(calls)
    .map(([kind, { values }]) => `${kind} ${mean(values).toFixed(1)}`)
    .join('; ');
}

function formatEvents(events: Record<string, number>, kinds: readonly string[], times = 1): string {
  return kinds.map((kind) => `${kind} ${((events[kind] ?? 0) * times).toFixed(2)}`).join('; ');
}

/** What the daemons' own counters say of the calls that membership and spread make. */
const PLATFORM_EVENTS = ['manifestReads', 'partReads', 'listReads', 'watches'];

const SPREAD_EVENTS = ['gossips', 'fetches', 'partsFromPeers', 'partsFromStore'];

const ROWS: Row[] = [
  [
    'machine load before, after',
    ({ load }) => `${load.before.toFixed(1)}, ${load.after.toFixed(1)}`,
  ],
  ['availability zones', ({ zones }) => `${zones}`],
  ['accepted changes measured', ({ changes }) => `${changes.changes}`],
  ['in force at the middle daemon, ms', ({ changes }) => formatCount(changes.middle)],
  ['in force at the last daemon, ms', ({ changes }) => formatCount(changes.worst)],
  ['latest of all, ms', ({ changes }) => max(changes.latencies).toFixed(0)],
  ['not in force within a minute', ({ changes }) => `${changes.missed}`],
  ['idle: store calls/s, all daemons', ({ idle }) => formatCalls(idle.calls)],
  ['idle: store calls/s a daemon', ({ idle, daemons }) => formatCalls(idle.calls, daemons)],
  ['idle: watches open', ({ idle }) => `${idle.waitingWatches}`],
  [
    'idle: of them for membership and spread',
    ({ idle, daemons }) => formatEvents(idle.events, PLATFORM_EVENTS, daemons),
  ],
  ['a change: store calls, all daemons, mean', ({ changes }) => formatMeanCalls(changes.calls)],
  [
    'a change: the spread, all daemons, mean',
    ({ changes }) => formatEvents(changes.events, SPREAD_EVENTS),
  ],
  ["a change: the operator's store calls", ({ changes }) => formatCount(changes.operatorCalls)],
  ['idle: mesh kB/s a daemon', ({ idle }) => formatKilobytes(idle.meshBytes)],
  ['idle: the same by topic', ({ idle }) => formatTopics(idle.meshBytesByTopic)],
  ['idle: mesh messages/s a daemon', ({ idle }) => formatCount(idle.meshMessages, 1)],
  ['idle: platform kB/s a daemon', ({ idle }) => formatKilobytes(idle.platformBytes)],
  ['idle: all kB/s read and written a daemon', ({ idle }) => formatKilobytes(idle.ioBytes)],
  ['a change: mesh kB a daemon', ({ changes }) => formatKilobytes(changes.meshBytes)],
  ['a change: platform kB a daemon', ({ changes }) => formatKilobytes(changes.platformBytes)],
  ['a change: all kB read and written', ({ changes }) => formatKilobytes(changes.ioBytes)],
  ['idle: % of a core a daemon', ({ idle }) => formatPercent(idle.core, 2)],
  ['a change: processor ms a daemon', ({ changes }) => formatCount(changes.processorTime, 1)],
  ['resident MB a daemon', ({ idle }) => formatCount(scale(idle.residentBytes, MEBIBYTE), 1)],
  ['of it not files, MB', ({ idle }) => formatCount(scale(idle.anonymousBytes, MEBIBYTE), 1)],
  ['of it heap in use, MB', ({ idle }) => formatCount(scale(idle.heapBytes, MEBIBYTE), 1)],
];

/** What any daemon takes, and Node.js alone. */
function formatBase({ base }: SharedReading): string {
  if (base === undefined) {
    return '';
  }
  const rows = [
    ['Node.js alone', base.runtime] as const,
    ['the daemon alone on two files', base.lone] as const,
  ].map(([name, { residentBytes, anonymousBytes, core }]) => [
    name,
    (residentBytes / MEBIBYTE).toFixed(1),
    (anonymousBytes / MEBIBYTE).toFixed(1),
    (core * 100).toFixed(2),
  ]);
  return markdownTable([
    ['before anything is shared', 'resident MB', 'not files, MB', '% of a core'],
    ...rows,
  ]);
}

/**
 * The table of all sizes, a column each.
 *
 * @internal
 */
export function formatSizes(reading: SharedReading): string {
  const { sizes } = reading;
  const head = ['median (least-most)', ...sizes.map(({ daemons }) => `${daemons} daemons`)];
  const rows = ROWS.map(([name, read]) => [name, ...sizes.map(read)]);
  return [markdownTable([head, ...rows]), '', formatBase(reading), ''].join('\n');
}
