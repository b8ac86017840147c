import type { LogLine } from '../trace/RequestTrace.js';
import { incidentIndicators } from './incidentIndicators.js';
import type { IncidentIndicator } from './incidentIndicators.js';

/** An indicator that rose above its usual level. */
export interface Symptom {
  measure: string;
  /** Start of the first and end of the last bad second, in milliseconds since the first line. */
  from: number;
  until: number;
  count: number;
  /** Lines in the median second and in the worst second. */
  usualPerSecond: number;
  worstPerSecond: number;
  /** The most frequent value of each grouping field. */
  mostly: Share[];
}

/** The share of a symptom that falls on one route, workspace, replica or daemon. */
export interface Share {
  field: string;
  value: string;
  /** Between 0 and 1. */
  part: number;
}

/** State changes of one kind, aggregated over all daemons. */
export interface StateChange {
  event: string;
  /** What the event refers to, such as a replica or a dependency. */
  subject: string;
  /** Milliseconds since the first line. */
  first: number;
  last: number;
  times: number;
  daemons: number;
}

/** The symptoms in a period of the logs, whom they affected, and the daemons' state changes. */
export interface IncidentSummary {
  /** Milliseconds since the epoch. */
  start: number;
  end: number;
  daemons: number;
  requests: number;
  symptoms: Symptom[];
  changes: StateChange[];
}

/** Events that change a daemon's state, and the field that holds their subject. */
const STATE_CHANGE_SUBJECTS: Readonly<Record<string, string>> = {
  start: '',
  reload: '',
  stopping: 'signal',
  stopped: '',
  fault: 'step',
  configuration: 'version',
  'configuration-refused': 'version',
  'dependency-lost': 'dependency',
  'dependency-regained': 'dependency',
  'replica-added': 'replica',
  'replica-draining': 'replica',
  'replica-removed': 'replica',
  'replica-kept': 'replica',
  'replica-suspect': 'replica',
  'replica-trusted': 'replica',
  'replica-avoided': 'replica',
  'peer-found': 'peer',
  'peer-lost': 'peer',
};

const MILLISECONDS_PER_SECOND = 1_000;

/** A second is bad if it has at least this many times the lines of the median second. */
const BAD_SECOND_FACTOR = 3;
/** A second with fewer lines is never bad. */
const MIN_LINES_IN_BAD_SECOND = 3;

/** A value with a smaller share does not explain the symptom. */
const MIN_SHARE = 0.25;

/** State changes precede their effects and are listed from this time before the first symptom. */
const LEAD_TIME_MS = 5_000;

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Adds the route, workspace and replica of the request to each line that has a request id. */
function addRequestFields(lines: readonly LogLine[]): LogLine[] {
  const known = new Map<string, Record<string, unknown>>();
  return lines.map((line) => {
    const { id } = line.fields;
    if (typeof id !== 'string' || id === '') {
      return line;
    }
    const key = `${line.daemon} ${id}`;
    const { route, workspace, replica } = { ...known.get(key), ...line.fields };
    known.set(key, { route, workspace, replica });
    return { ...line, fields: { route, workspace, replica, ...line.fields } };
  });
}

function getValue(line: LogLine, field: string): string {
  const value = field === 'daemon' ? line.daemon : line.fields[field];
  return value === undefined ? '' : String(value);
}

function getLargestShare(lines: readonly LogLine[], field: string): Share | undefined {
  const counts = new Map<string, number>();
  lines.forEach((line) => {
    const value = getValue(line, field);
    counts.set(value, (counts.get(value) ?? 0) + 1);
  });
  const [value, count] = [...counts].sort((left, right) => right[1] - left[1])[0]!;
  const part = count / lines.length;
  return value === '' || part < MIN_SHARE ? undefined : { field, value, part };
}

function getSymptom(
  lines: readonly LogLine[],
  { name, isCounted, groupedBy }: IncidentIndicator,
  start: number,
  seconds: number,
): Symptom | undefined {
  const counted = lines.filter(isCounted);
  const perSecond = Array<number>(seconds).fill(0);
  const getSecond = ({ time }: LogLine) => Math.floor((time - start) / MILLISECONDS_PER_SECOND);
  counted.forEach((line) => {
    perSecond[getSecond(line)]! += 1;
  });
  const median = getMedian(perSecond);
  const threshold = Math.max(MIN_LINES_IN_BAD_SECOND, median * BAD_SECOND_FACTOR);
  const badSeconds = new Set(
    perSecond.flatMap((count, second) => (count >= threshold ? [second] : [])),
  );
  if (badSeconds.size === 0) {
    return undefined;
  }
  const affected = counted.filter((line) => badSeconds.has(getSecond(line)));
  return {
    measure: name,
    from: Math.min(...badSeconds) * MILLISECONDS_PER_SECOND,
    until: (Math.max(...badSeconds) + 1) * MILLISECONDS_PER_SECOND,
    count: affected.length,
    usualPerSecond: median,
    worstPerSecond: Math.max(...perSecond),
    mostly: groupedBy
      .map((field) => getLargestShare(affected, field))
      .filter((share) => share !== undefined),
  };
}

function getStateChanges(lines: readonly LogLine[], start: number): StateChange[] {
  const changes = new Map<string, StateChange & { at: Set<string> }>();
  lines.forEach(({ daemon, event, fields, time }) => {
    const field = STATE_CHANGE_SUBJECTS[event];
    if (field === undefined) {
      return;
    }
    const subject = String(fields[field] ?? '');
    const key = `${event} ${subject}`;
    const after = time - start;
    const change = changes.get(key) ?? {
      event,
      subject,
      first: after,
      last: after,
      times: 0,
      daemons: 0,
      at: new Set<string>(),
    };
    change.at.add(daemon);
    changes.set(key, { ...change, last: after, times: change.times + 1, daemons: change.at.size });
  });
  return [...changes.values()]
    .map(({ at: _at, ...change }) => change)
    .sort((left, right) => left.first - right.first);
}

/**
 * Summarizes a period of the logs.
 *
 * @param lines - log lines of any daemons, in any order
 * @returns undefined if there are no lines
 * @example
 * ```ts
 * getIncidentSummary(lines)?.symptoms.map(({ measure, from }) => `${measure} from ${from} ms`);
 * ```
 */
export function getIncidentSummary(lines: readonly LogLine[]): IncidentSummary | undefined {
  if (lines.length === 0) {
    return undefined;
  }
  const sorted = addRequestFields([...lines].sort((left, right) => left.time - right.time));
  const start = sorted[0]!.time;
  const end = sorted.at(-1)!.time;
  const seconds = Math.floor((end - start) / MILLISECONDS_PER_SECOND) + 1;
  const symptoms = incidentIndicators
    .map((measure) => getSymptom(sorted, measure, start, seconds))
    .filter((symptom) => symptom !== undefined)
    .sort((left, right) => left.from - right.from);
  const firstRelevantTime = symptoms[0] === undefined ? 0 : symptoms[0].from - LEAD_TIME_MS;
  const lastRelevantTime = Math.max(0, ...symptoms.map(({ until }) => until));
  return {
    start,
    end,
    daemons: new Set(sorted.map(({ daemon }) => daemon)).size,
    requests: sorted.filter(({ event }) => event === 'admitted').length,
    symptoms,
    changes: getStateChanges(sorted, start).filter(
      ({ first, last }) => last >= firstRelevantTime && first <= lastRelevantTime,
    ),
  };
}
