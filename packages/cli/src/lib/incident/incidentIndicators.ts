import type { LogLine } from '../trace/RequestTrace.js';

/** A sign of trouble, counted per second of the logs. */
export interface IncidentIndicator {
  name: string;
  /** Whether the indicator counts a line. */
  isCounted: (line: LogLine) => boolean;
  /** Fields by which the affected lines are grouped. */
  groupedBy: readonly string[];
}

/** A first byte that takes longer exceeds the target of every route. */
const SLOW_FIRST_BYTE_MS = 1_000;

/** A pause in a stream that is noticeable to its reader. */
const LONG_PAUSE_MS = 500;

function isEvent(event: string): IncidentIndicator['isCounted'] {
  return (line) => line.event === event;
}

function isAbove(field: string, threshold: number): IncidentIndicator['isCounted'] {
  return ({ event, fields }) => event === 'answered' && Number(fields[field] ?? 0) > threshold;
}

/** All indicators that can be derived from the daemons' log lines. */
export const incidentIndicators: readonly IncidentIndicator[] = [
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
    isCounted: isAbove('firstByte', SLOW_FIRST_BYTE_MS),
    groupedBy: ['route', 'replica', 'workspace', 'daemon'],
  },
  {
    name: 'streams that paused for more than 0.5 s',
    isCounted: isAbove('longestPause', LONG_PAUSE_MS),
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
