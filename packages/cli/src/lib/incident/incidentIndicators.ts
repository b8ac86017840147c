import type { LogLine } from '../trace/RequestTrace.js';

/** What an engineer on call looks at first, by second. */
export interface Measure {
  name: string;
  /** The part of the log that the measure counts. */
  isCounted: (line: LogLine) => boolean;
  /** Fields that say for whom it became worse. */
  groupedBy: readonly string[];
}

/** A first byte that took longer than this is late by any route's target, in milliseconds. */
const SLOW_FIRST_BYTE = 1_000;

/** A stream that paused for longer stands still for whoever reads it, in milliseconds. */
const LONG_PAUSE = 500;

function isEvent(event: string): Measure['isCounted'] {
  return (line) => line.event === event;
}

function isAbove(field: string, bound: number): Measure['isCounted'] {
  return ({ event, fields }) => event === 'answered' && Number(fields[field] ?? 0) > bound;
}

/** Every sign of trouble that the daemons' log lines carry. */
export const measures: readonly Measure[] = [
  {
    name: 'requests given up',
    isCounted: isEvent('given-up'),
    groupedBy: ['reason', 'route', 'workspace', 'replica', 'daemon'],
  },
  {
    name: 'requests rejected',
    isCounted: isEvent('rejected'),
    groupedBy: ['reason', 'status', 'daemon'],
  },
  {
    name: 'attempts that failed',
    isCounted: ({ event, fields }) => event === 'attempt-ended' && fields.end !== 'completed',
    groupedBy: ['end', 'replica', 'route', 'daemon'],
  },
  {
    name: 'first bytes after more than 1 s',
    isCounted: isAbove('firstByte', SLOW_FIRST_BYTE),
    groupedBy: ['route', 'replica', 'workspace', 'daemon'],
  },
  {
    name: 'streams that paused for more than 0.5 s',
    isCounted: isAbove('longestPause', LONG_PAUSE),
    groupedBy: ['route', 'replica', 'daemon'],
  },
  {
    name: 'callers that left',
    isCounted: isEvent('caller-left'),
    groupedBy: ['route', 'workspace', 'daemon'],
  },
  {
    name: 'log lines held back',
    isCounted: isEvent('lines-dropped'),
    groupedBy: ['daemon'],
  },
];
