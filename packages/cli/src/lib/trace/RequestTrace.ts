/** A line of a daemon's log. */
export interface LogLine {
  daemon: string;
  /** Milliseconds since the epoch, by the daemon's clock. */
  time: number;
  event: string;
  fields: Record<string, unknown>;
}

/** One entry in the trace of a request. */
export interface TraceEntry {
  /** Milliseconds since the request's first log line. */
  after: number;
  daemon: string;
  event: string;
  facts: string;
}

/** Replica events that help to explain the outcome of a request sent to that replica. */
const REPLICA_EVENTS = new Set([
  'replica-suspect',
  'replica-trusted',
  'replica-avoided',
  'replica-draining',
  'replica-removed',
  'replica-kept',
]);

/** Fields that every line has or that the table shows in separate columns. */
const OMITTED_FIELDS = new Set(['level', 'time', 'event', 'id']);

/** Time before a request's first line and after its last in which replica events are included. */
const REPLICA_EVENT_WINDOW_MS = 2_000;

/**
 * Parses one line of a log.
 *
 * @param text - JSON, optionally preceded by the daemon's name
 * @param source - the daemon's name if the line has none, such as the name of the log file
 * @returns undefined if the line holds no event
 * @example
 * ```ts
 * parseLogLine('edge-1 {"time":5,"event":"caller-left","id":"r"}', '');
 * ```
 */
export function parseLogLine(text: string, source: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start === -1) {
    return undefined;
  }
  let fields: Record<string, unknown>;
  try {
    fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
  } catch {
    // The line was truncated or comes from another program.
    return undefined;
  }
  const { time, event } = fields;
  if (typeof time !== 'number' || typeof event !== 'string') {
    return undefined;
  }
  const lastWord = text.slice(0, start).trim().split(/\s+/).at(-1)!;
  return { daemon: lastWord === '' ? source : lastWord, time, event, fields };
}

function formatValue(value: unknown): string {
  if (typeof value === 'number' && !Number.isInteger(value)) {
    return value.toFixed(1);
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function formatFields(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .filter(([name]) => !OMITTED_FIELDS.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

/**
 * Returns the log lines of one request in order of time, together with the events of its replicas
 * around that time.
 *
 * @param lines - log lines of any daemons, in any order
 */
export function getRequestTrace(lines: readonly LogLine[], id: string): TraceEntry[] {
  const requestLines = lines.filter(({ fields }) => fields.id === id);
  if (requestLines.length === 0) {
    return [];
  }
  const daemons = new Set(requestLines.map(({ daemon }) => daemon));
  const replicas = new Set(requestLines.map(({ fields }) => fields.replica));
  const times = requestLines.map(({ time }) => time);
  const first = Math.min(...times);
  const last = Math.max(...times);
  const replicaLines = lines.filter(
    ({ daemon, event, time, fields }) =>
      REPLICA_EVENTS.has(event) &&
      daemons.has(daemon) &&
      replicas.has(fields.replica) &&
      time >= first - REPLICA_EVENT_WINDOW_MS &&
      time <= last + REPLICA_EVENT_WINDOW_MS,
  );
  return [...requestLines, ...replicaLines]
    .sort((left, right) => left.time - right.time)
    .map(({ daemon, time, event, fields }) => ({
      after: time - first,
      daemon,
      event,
      facts: formatFields(fields),
    }));
}
