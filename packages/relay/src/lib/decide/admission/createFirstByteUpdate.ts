import type { Milliseconds } from '@apricotrill/utils';
import type { PlacementUpdate } from '../messages.js';
import type { ServiceState } from '../ReplicaRegistry/ServiceState.js';
import type { RunningAttempt } from '../RequestRecord.js';

/** The head of a response, which states the load, and its first byte arrive within this time. */
const MAX_REPORT_AGE: Milliseconds = 20;

/**
 * Creates the update by which the placer hears of a first byte. Under admission control, it includes what
 * the engine has stated of its load, since the placer sends no request of its own to most engines.
 */
export function createFirstByteUpdate(
  { key, state }: RunningAttempt,
  { isAdmissionControlled }: ServiceState,
  now: Milliseconds,
): PlacementUpdate {
  const last = isAdmissionControlled ? state.lastReport : undefined;
  const isFresh = last !== undefined && now - last.receivedAt <= MAX_REPORT_AGE;
  return isFresh
    ? { kind: 'first-byte-received', key, load: last.report }
    : { kind: 'first-byte-received', key };
}
