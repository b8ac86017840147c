import type { Milliseconds } from '@apricotrill/utils';
import type { PlacementUpdate } from './messages.js';
import type { RunningAttempt } from './RequestRecord.js';

/** Age up to which a load report came with the response, or with one just before. */
const MAX_REPORT_AGE: Milliseconds = 20;

/**
 * Creates the update about the first byte of a response. Where replicas state their slowdown, or must not
 * be overfilled, it carries the load report of the response, since the placer of a group hears of most responses in no other way.
 */
export function createFirstByteUpdate(
  { key, state }: RunningAttempt,
  now: Milliseconds,
  isFragile: boolean,
): Extract<PlacementUpdate, { kind: 'first-byte-received' }> {
  const { lastReport, statesSlowdown } = state;
  const isFresh = lastReport !== undefined && now - lastReport.receivedAt <= MAX_REPORT_AGE;
  return (statesSlowdown || isFragile) && isFresh
    ? { kind: 'first-byte-received', key, load: lastReport.report }
    : { kind: 'first-byte-received', key };
}
