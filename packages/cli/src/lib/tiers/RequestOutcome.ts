import type { LogLine } from '../trace/RequestTrace.js';

/** How a request ended, as far as its caller is concerned. */
export enum RequestEnd {
  Answered = 'answered',
  /** No attempt was sent to a replica. */
  NotSent = 'not sent',
  /** A replica received it, and no byte of a response arrived. */
  NoFirstByte = 'no first byte',
  /** The response began and did not end. */
  Cut = 'cut',
}

/** What the logs say about one request. */
export interface RequestOutcome {
  id: string;
  service: string;
  /** Priority of the route; 0 is the most urgent. */
  routePriority: number;
  workspacePriority: number | undefined;
  /** Urgency that the replica was told; 0 is the most urgent. */
  rank: number;
  promptTokens: number;
  admittedAt: number;
  sentAt: number | undefined;
  firstByteAt: number | undefined;
  endedAt: number;
  /** The last replica that it was sent to. */
  replica: string | undefined;
  end: RequestEnd;
}

const ENDING_EVENTS = new Set(['answered', 'given-up', 'caller-left']);

function getNumber(value: unknown): number | undefined {
  return typeof value === 'number' ? value : undefined;
}

function getEnd(last: LogLine, isSent: boolean, hasFirstByte: boolean): RequestEnd {
  if (last.event === 'answered') {
    return RequestEnd.Answered;
  }
  if (!isSent) {
    return RequestEnd.NotSent;
  }
  return hasFirstByte ? RequestEnd.Cut : RequestEnd.NoFirstByte;
}

function getOutcome(lines: readonly LogLine[]): RequestOutcome | undefined {
  const admitted = lines.find(({ event }) => event === 'admitted');
  const last = lines.find(({ event }) => ENDING_EVENTS.has(event));
  const { service, routePriority, rank } = admitted?.fields ?? {};
  if (
    admitted === undefined ||
    last === undefined ||
    typeof service !== 'string' ||
    typeof routePriority !== 'number' ||
    typeof rank !== 'number'
  ) {
    return undefined;
  }
  const sent = lines.filter(({ event }) => event === 'sent');
  const firstByte = lines.find(({ event }) => event === 'first-byte');
  const replica = sent.at(-1)?.fields.replica;
  return {
    id: String(admitted.fields.id),
    service,
    routePriority,
    workspacePriority: getNumber(admitted.fields.workspacePriority),
    rank,
    promptTokens: getNumber(admitted.fields.promptTokens) ?? 0,
    admittedAt: admitted.time,
    sentAt: sent[0]?.time,
    firstByteAt: firstByte?.time,
    endedAt: last.time,
    replica: typeof replica === 'string' ? replica : undefined,
    end: getEnd(last, sent.length > 0, firstByte !== undefined),
  };
}

/**
 * Returns the outcome of each request that was admitted and has ended.
 *
 * @param lines - log lines of any daemons, in any order
 */
export function getRequestOutcomes(lines: readonly LogLine[]): RequestOutcome[] {
  const byRequest = new Map<string, LogLine[]>();
  lines.forEach((line) => {
    const { id } = line.fields;
    if (typeof id === 'string' && id !== '') {
      const key = `${line.daemon} ${id}`;
      const own = byRequest.get(key);
      if (own === undefined) {
        byRequest.set(key, [line]);
      } else {
        own.push(line);
      }
    }
  });
  return [...byRequest.values()]
    .map((own) => getOutcome([...own].sort((left, right) => left.time - right.time)))
    .filter((outcome) => outcome !== undefined);
}
