/** A line of a daemon's log. */
export interface LogLine {
  daemon: string;
  /** Milliseconds since the epoch, by the daemon's clock. */
  time: number;
  event: string;
  fields: Record<string, unknown>;
}

/** One line of a request's story. */
export interface StoryLine {
  /** Milliseconds since the first line of the request. */
  after: number;
  daemon: string;
  event: string;
  facts: string;
}

/** Events about a replica that explain what became of a request there. */
const REPLICA_EVENTS = new Set([
  'replica-suspect',
  'replica-trusted',
  'replica-avoided',
  'replica-draining',
  'replica-removed',
  'replica-kept',
]);

/** Fields that every line has, or that the table shows in columns of their own. */
const SHOWN_ELSEWHERE = new Set(['level', 'time', 'event', 'id']);

/** How long before a request's first line and after its last word on a replica still matters. */
const AROUND = 2_000;

/**
 * Reads one line of a log.
 *
 * @param text - JSON, with or without a name in front of it
 * @param source - the daemon's name where the line has none, such as the file's
 * @returns undefined where there is no event
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
    // A line that was cut, or of another program, tells nothing of a request.
    return undefined;
  }
  const { time, event } = fields;
  if (typeof time !== 'number' || typeof event !== 'string') {
    return undefined;
  }
  const named = text.slice(0, start).trim().split(/\s+/).at(-1)!;
  return { daemon: named === '' ? source : named, time, event, fields };
}

function formatValue(value: unknown): string {
  if (typeof value === 'number' && !Number.isInteger(value)) {
    return value.toFixed(1);
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

function formatFacts(fields: Record<string, unknown>): string {
  return Object.entries(fields)
    .filter(([name]) => !SHOWN_ELSEWHERE.has(name))
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(' ');
}

/**
 * The lines of one request in order of time, with what was learnt of its replicas meanwhile.
 *
 * @param lines - of any daemons, in any order
 */
export function getStory(lines: readonly LogLine[], id: string): StoryLine[] {
  const own = lines.filter(({ fields }) => fields.id === id);
  if (own.length === 0) {
    return [];
  }
  const daemons = new Set(own.map(({ daemon }) => daemon));
  const replicas = new Set(own.map(({ fields }) => fields.replica));
  const times = own.map(({ time }) => time);
  const first = Math.min(...times);
  const last = Math.max(...times);
  const around = lines.filter(
    ({ daemon, event, time, fields }) =>
      REPLICA_EVENTS.has(event) &&
      daemons.has(daemon) &&
      replicas.has(fields.replica) &&
      time >= first - AROUND &&
      time <= last + AROUND,
  );
  return [...own, ...around]
    .sort((left, right) => left.time - right.time)
    .map(({ daemon, time, event, fields }) => ({
      after: time - first,
      daemon,
      event,
      facts: formatFacts(fields),
    }));
}
