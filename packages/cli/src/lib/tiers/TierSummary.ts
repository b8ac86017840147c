import { RequestEnd } from './RequestOutcome.js';
import type { RequestOutcome } from './RequestOutcome.js';

/** Requests of one route priority and one workspace priority at a service, in one window of time. */
export interface TierSummary {
  service: string;
  /** Start of the window, in milliseconds since the first request. */
  from: number;
  routePriority: number;
  workspacePriority: number | undefined;
  requests: number;
  /** Requests that were not answered, by how they ended. */
  notSent: number;
  noFirstByte: number;
  cut: number;
  /** Prompt tokens of the requests that were not answered. */
  unansweredTokens: number;
  /** Prompt tokens of requests with a less urgent route whose response began in the window. */
  lessUrgentTokens: number;
  overtaken: OvertakenRequests;
}

/**
 * Unanswered requests during which the response to one with a less urgent route began at the same
 * replica.
 */
export interface OvertakenRequests {
  /** The replica was told that the less urgent request is the more urgent one. */
  byLowerRank: number;
  /** The replica was told that both are equally urgent. */
  byEqualRank: number;
  /** The replica was told the right order and did not follow it. */
  byHigherRank: number;
}

const DEFAULT_WINDOW_MS = 5_000;

function groupBy<Item>(items: readonly Item[], getKey: (item: Item) => string): Item[][] {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const key = getKey(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  });
  return [...groups.values()];
}

function sumTokens(outcomes: readonly RequestOutcome[]): number {
  return outcomes.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
}

/** Responses at the same replica that began while the request was unanswered, of less urgent routes. */
function getOvertaking(
  { replica, sentAt, endedAt, routePriority }: RequestOutcome,
  byReplica: ReadonlyMap<string, RequestOutcome[]>,
): RequestOutcome[] {
  if (replica === undefined || sentAt === undefined) {
    return [];
  }
  return (byReplica.get(replica) ?? []).filter(
    (other) =>
      other.routePriority > routePriority &&
      other.firstByteAt! >= sentAt &&
      other.firstByteAt! <= endedAt,
  );
}

function countOvertaken(
  unanswered: readonly RequestOutcome[],
  byReplica: ReadonlyMap<string, RequestOutcome[]>,
): OvertakenRequests {
  const overtaken = { byLowerRank: 0, byEqualRank: 0, byHigherRank: 0 };
  unanswered.forEach((outcome) => {
    const ranks = getOvertaking(outcome, byReplica).map(({ rank }) => rank);
    overtaken.byLowerRank += ranks.some((rank) => rank < outcome.rank) ? 1 : 0;
    overtaken.byEqualRank += ranks.some((rank) => rank === outcome.rank) ? 1 : 0;
    overtaken.byHigherRank += ranks.some((rank) => rank > outcome.rank) ? 1 : 0;
  });
  return overtaken;
}

/**
 * Summarizes what became of the requests of each priority, and what overtook those that were not
 * answered.
 *
 * @param outcomes - requests of any daemons, in any order
 * @param windowSize - length of a window, in milliseconds
 * @returns one summary for each window, service, route priority and workspace priority
 * @example
 * ```ts
 * getTierSummaries(getRequestOutcomes(lines)).filter(({ cut }) => cut > 0);
 * ```
 */
export function getTierSummaries(
  outcomes: readonly RequestOutcome[],
  windowSize = DEFAULT_WINDOW_MS,
): TierSummary[] {
  const start = outcomes.reduce((least, { admittedAt }) => Math.min(least, admittedAt), Infinity);
  const getWindow = (time: number) => Math.floor((time - start) / windowSize);
  const begun = outcomes.filter(({ firstByteAt }) => firstByteAt !== undefined);
  const byReplica = new Map(
    groupBy(begun, ({ replica }) => replica ?? '').map((group) => [group[0]!.replica ?? '', group]),
  );
  const groups = groupBy(outcomes, ({ admittedAt, service, routePriority, workspacePriority }) =>
    [getWindow(admittedAt), service, routePriority, workspacePriority].join(' '),
  );
  return groups
    .map((group) => {
      const { admittedAt, service, routePriority, workspacePriority } = group[0]!;
      const window = getWindow(admittedAt);
      const unanswered = group.filter(({ end }) => end !== RequestEnd.Answered);
      const count = (wanted: RequestEnd) => unanswered.filter(({ end }) => end === wanted).length;
      const lessUrgent = begun.filter(
        (other) =>
          other.service === service &&
          other.routePriority > routePriority &&
          getWindow(other.firstByteAt!) === window,
      );
      return {
        service,
        from: window * windowSize,
        routePriority,
        workspacePriority,
        requests: group.length,
        notSent: count(RequestEnd.NotSent),
        noFirstByte: count(RequestEnd.NoFirstByte),
        cut: count(RequestEnd.Cut),
        unansweredTokens: sumTokens(unanswered),
        lessUrgentTokens: sumTokens(lessUrgent),
        overtaken: countOvertaken(unanswered, byReplica),
      };
    })
    .sort(
      (left, right) =>
        left.service.localeCompare(right.service) ||
        left.from - right.from ||
        left.routePriority - right.routePriority ||
        (left.workspacePriority ?? 0) - (right.workspacePriority ?? 0),
    );
}
