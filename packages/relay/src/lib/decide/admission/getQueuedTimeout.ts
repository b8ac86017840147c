import type { Milliseconds } from '@apricotrill/utils';

/** Upper bound of the time after which a daemon asks again, by which placers know that it runs. */
const MAX_TIMEOUT: Milliseconds = 2_000;

/** Share of the latency target after which a daemon asks again, so that the deputy can be asked in time. */
const MAX_TARGET_SHARE = 0.5;

/**
 * How long a daemon waits for a placer that has queued a request, until it asks again: the promised time and
 * a reserve, but no longer than leaves time for the deputy.
 */
export function getQueuedTimeout(
  expectedWait: Milliseconds,
  latencyTarget: Milliseconds,
  reserve: Milliseconds,
): Milliseconds {
  const bound = Math.min(MAX_TIMEOUT, latencyTarget * MAX_TARGET_SHARE);
  return Math.max(reserve, Math.min(bound, expectedWait + reserve));
}
