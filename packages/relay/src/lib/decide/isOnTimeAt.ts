import type { Milliseconds } from '@apricotrill/utils';
import type { RequestRecord } from './RequestRecord.js';

/** Whether a request that is sent at the given time can still meet its latency target. */
export function isOnTimeAt({ request }: RequestRecord, at: Milliseconds): boolean {
  return at < request.arrivedAt + request.latencyTarget;
}
