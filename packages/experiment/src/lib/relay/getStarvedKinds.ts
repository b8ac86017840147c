import type { Milliseconds } from '@apricotrill/utils';
import type { RequestKind } from './RelayDeployment.js';
import type { SimulatedCall } from './SimulatedCall.js';

/** A kind of request that was not served while less urgent ones began. */
export interface StarvedKind {
  kind: string;
  /** Start of the window. */
  from: Milliseconds;
  calls: number;
  unserved: number;
  unservedTokens: number;
  /** Prompt tokens of less urgent calls whose response began in the window. */
  lessUrgentTokens: number;
}

const WINDOW: Milliseconds = 5_000;

const WINDOW_STEP: Milliseconds = 500;

const MIN_UNSERVED = 10;

/** Share of a kind's calls that may end without a response. */
const MAX_UNSERVED_SHARE = 1 / 12;

/** Less urgent tokens that may begin, as a multiple of the tokens that are not served. */
const MAX_LESS_URGENT_FACTOR = 2;

function sumTokens(calls: readonly SimulatedCall[]): number {
  return calls.reduce((sum, { prompt }) => sum + (prompt?.inputTokens ?? 0), 0);
}

function getStarvedKind(
  calls: readonly SimulatedCall[],
  kind: RequestKind,
  from: Milliseconds,
): StarvedKind | undefined {
  const isWithin = (time: Milliseconds) => time >= from && time < from + WINDOW;
  const own = calls.filter((call) => call.kind === kind && isWithin(call.arrivedAt));
  const unserved = own.filter(({ firstEvent }) => firstEvent === undefined);
  const lessUrgent = calls.filter(
    ({ kind: other, arrivedAt, firstEvent }) =>
      other.service === kind.service &&
      other.priority > kind.priority &&
      firstEvent !== undefined &&
      isWithin(arrivedAt + firstEvent),
  );
  const unservedTokens = sumTokens(unserved);
  const lessUrgentTokens = sumTokens(lessUrgent);
  const isStarved =
    unserved.length >= MIN_UNSERVED &&
    unserved.length > own.length * MAX_UNSERVED_SHARE &&
    lessUrgentTokens > unservedTokens * MAX_LESS_URGENT_FACTOR;
  return isStarved
    ? {
        kind: kind.name,
        from,
        calls: own.length,
        unserved: unserved.length,
        unservedTokens,
        lessUrgentTokens,
      }
    : undefined;
}

/**
 * Returns the kinds of requests of which too many got no response at all in some window, while less
 * urgent ones of more tokens began at the same service.
 *
 * @param calls - all calls of a day without crashes, in the order of their arrival
 */
export function getStarvedKinds(calls: readonly SimulatedCall[]): StarvedKind[] {
  const kinds = [...new Set(calls.map(({ kind }) => kind))];
  const last = calls.at(-1)?.arrivedAt ?? 0;
  const starts = Array.from(
    { length: Math.max(1, Math.ceil((last - WINDOW) / WINDOW_STEP)) },
    (_item, index) => index * WINDOW_STEP,
  );
  return starts.flatMap((from) =>
    kinds
      .map((kind) => getStarvedKind(calls, kind, from))
      .filter((starved) => starved !== undefined),
  );
}
