import type { Milliseconds } from '@apricotrill/utils';
import type { CallRecord } from '../simulation/CallRecord.js';

/** What changes the number of waiting calls; services sort first within a moment. */
enum Change {
  Served = 0,
  Settled = 1,
  Arrived = 2,
}

interface Moment {
  at: Milliseconds;
  change: Change;
}

function getMoments({ call, firstTokenAt, settledAt }: CallRecord): Moment[] {
  const arrived = { at: call.arrived, change: Change.Arrived };
  if (firstTokenAt !== undefined) {
    return [arrived, { at: firstTokenAt, change: Change.Served }];
  }
  return settledAt === undefined ? [arrived] : [arrived, { at: settledAt, change: Change.Settled }];
}

/**
 * The longest time in which calls waited and none of them got its first token: the measure of
 * starvation of a class.
 *
 * @param records - the calls of one class
 * @param end - when the run ended, for calls that are still open
 * @example
 * ```ts
 * const starved = getLongestDrought(records, end) > STARVATION;
 * ```
 * @internal
 */
export function getLongestDrought(records: CallRecord[], end: Milliseconds): Milliseconds {
  const moments = records.flatMap(getMoments);
  moments.sort((left, right) => left.at - right.at || left.change - right.change);
  let waiting = 0;
  let since = 0;
  let longest = 0;
  moments.forEach(({ at, change }) => {
    if (change === Change.Arrived) {
      since = waiting === 0 ? at : since;
      waiting += 1;
      return;
    }
    waiting -= 1;
    longest = Math.max(longest, at - since);
    since = change === Change.Served ? at : since;
  });
  return waiting > 0 ? Math.max(longest, end - since) : longest;
}
