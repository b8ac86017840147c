import type { LogLine } from '../trace/RequestTrace.js';
import { measures } from './incidentIndicators.js';
import type { Measure } from './incidentIndicators.js';

/** Something that became worse. */
export interface Symptom {
  measure: string;
  /** Milliseconds since the first line: the first and the last second above the usual. */
  from: number;
  until: number;
  count: number;
  /** In an ordinary second of the span, and in the worst. */
  usualPerSecond: number;
  worstPerSecond: number;
  /** Who had most of it. */
  mostly: Share[];
}

/** The part of a symptom that one route, workspace, replica or daemon had. */
export interface Share {
  field: string;
  value: string;
  /** 0 to 1. */
  part: number;
}

/** Changes of belief of one kind, at all daemons together. */
export interface BeliefChange {
  event: string;
  /** What it was about, such as a replica or a dependency. */
  subject: string;
  /** Milliseconds since the first line. */
  first: number;
  last: number;
  times: number;
  daemons: number;
}

/** What became worse in a span of logs, for whom, from when, and what the daemons believed. */
export interface IncidentSummary {
  /** Milliseconds since the epoch. */
  start: number;
  end: number;
  daemons: number;
  requests: number;
  symptoms: Symptom[];
  changes: BeliefChange[];
}

/** Events that change what a daemon believes, and the field that says of what. */
const BELIEFS: Readonly<Record<string, string>> = {
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

const SECOND = 1_000;

/** A second is bad from so many times the usual on, and from so many lines on. */
const WORSE_FACTOR = 3;
const FEWEST_LINES = 3;

/** A value that has less of a symptom explains nothing. */
const LEAST_PART = 0.25;

/** Beliefs change before what they do is seen: so long before the first symptom they count. */
const BEFORE = 5_000;

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

/** Adds the route, workspace and replica of its request to each line that names a request. */
function joinRequests(lines: readonly LogLine[]): LogLine[] {
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
  return value === '' || part < LEAST_PART ? undefined : { field, value, part };
}

function getSymptom(
  lines: readonly LogLine[],
  { name, isCounted, groupedBy }: Measure,
  start: number,
  seconds: number,
): Symptom | undefined {
  const counted = lines.filter(isCounted);
  const perSecond = Array<number>(seconds).fill(0);
  const getSecond = ({ time }: LogLine) => Math.floor((time - start) / SECOND);
  counted.forEach((line) => {
    perSecond[getSecond(line)]! += 1;
  });
  const usual = getMedian(perSecond);
  const bound = Math.max(FEWEST_LINES, usual * WORSE_FACTOR);
  const bad = new Set(perSecond.flatMap((count, second) => (count >= bound ? [second] : [])));
  if (bad.size === 0) {
    return undefined;
  }
  const affected = counted.filter((line) => bad.has(getSecond(line)));
  return {
    measure: name,
    from: Math.min(...bad) * SECOND,
    until: (Math.max(...bad) + 1) * SECOND,
    count: affected.length,
    usualPerSecond: usual,
    worstPerSecond: Math.max(...perSecond),
    mostly: groupedBy
      .map((field) => getLargestShare(affected, field))
      .filter((share) => share !== undefined),
  };
}

function getChanges(lines: readonly LogLine[], start: number): BeliefChange[] {
  const changes = new Map<string, BeliefChange & { at: Set<string> }>();
  lines.forEach(({ daemon, event, fields, time }) => {
    const field = BELIEFS[event];
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
 * Sums a span of logs up.
 *
 * @param lines - of any daemons, in any order
 * @returns undefined where there are no lines
 * @example
 * ```ts
 * getIncidentSummary(lines)?.symptoms.map(({ measure, from }) => `${measure} from ${from} ms`);
 * ```
 */
export function getIncidentSummary(lines: readonly LogLine[]): IncidentSummary | undefined {
  if (lines.length === 0) {
    return undefined;
  }
  const sorted = joinRequests([...lines].sort((left, right) => left.time - right.time));
  const start = sorted[0]!.time;
  const end = sorted.at(-1)!.time;
  const seconds = Math.floor((end - start) / SECOND) + 1;
  const symptoms = measures
    .map((measure) => getSymptom(sorted, measure, start, seconds))
    .filter((symptom) => symptom !== undefined)
    .sort((left, right) => left.from - right.from);
  const earliest = symptoms[0] === undefined ? 0 : symptoms[0].from - BEFORE;
  const latest = Math.max(0, ...symptoms.map(({ until }) => until));
  return {
    start,
    end,
    daemons: new Set(sorted.map(({ daemon }) => daemon)).size,
    requests: sorted.filter(({ event }) => event === 'admitted').length,
    symptoms,
    changes: getChanges(sorted, start).filter(
      ({ first, last }) => last >= earliest && first <= latest,
    ),
  };
}
