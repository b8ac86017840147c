import type { Milliseconds } from '@apricotrill/utils';
import type { PolicyOptions } from '../policyOptions.js';
import type { RequestRecord } from './RequestRecord.js';

/**
 * How long an attempt may be silent.
 *
 * What may be repeated is given up early enough to be tried elsewhere before its deadline. What
 * may not be repeated has no second chance and gets all the time there is.
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
  const patience = Math.max(
    options.minFirstTokenTimeout,
    options.firstTokenPatience * target.firstToken,
  );
  const left = record.isUnderWay ? patience : Math.max(1, record.deadline - now);
  return {
    firstTokenTimeout: repeatable ? Math.min(patience, left) : left,
    tokenGapTimeout: Math.max(
      options.minTokenGapTimeout,
      options.tokenGapPatience * target.tokenGap,
    ),
  };
}
