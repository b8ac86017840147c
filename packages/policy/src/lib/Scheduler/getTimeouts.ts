import type { Milliseconds } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * Returns how long an attempt may take to its first token, and between tokens.
 *
 * An attempt of a repeatable request times out early enough to be retried at another replica before
 * the deadline. A request that is not repeatable can't be retried, so its attempt gets all the time
 * until the deadline.
 *
 * @param record - the request about to be sent
 * @internal
 */
export function getTimeouts(
  record: RequestRecord,
  options: PolicyOptions,
  now: Milliseconds,
): { firstTokenTimeout: Milliseconds; tokenGapTimeout: Milliseconds } {
  const { target, repeatable } = record.request.serviceClass;
  const targetTimeout = Math.max(
    options.minFirstTokenTimeout,
    options.firstTokenTimeoutFactor * target.firstToken,
  );
  const timeLeft = record.isExemptFromDeadline ? targetTimeout : Math.max(1, record.deadline - now);
  return {
    firstTokenTimeout: repeatable ? Math.min(targetTimeout, timeLeft) : timeLeft,
    tokenGapTimeout: Math.max(
      options.minTokenGapTimeout,
      options.tokenGapTimeoutFactor * target.tokenGap,
    ),
  };
}
