import { defaultLeaseOptions } from '@apricotrill/lease';
import type { LeaseOptions } from '@apricotrill/lease';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * How duties are carried out.
 *
 * @public
 */
export interface DutyOptions {
  /** One lease for all duties. */
  lease: LeaseOptions;
  /** How long after a window's end late counts are waited for. */
  settleDelay: Milliseconds;
  /** Before a call that failed is tried again, doubled each time. */
  retry: Milliseconds;
  longestRetry: Milliseconds;
  /** Between two looks at what replicas are needed. */
  planPeriod: Milliseconds;
}

/** @public */
export const dutyOptions: DutyOptions = {
  lease: {
    ...defaultLeaseOptions,
    span: 5_000,
    margin: 1_500,
    renewal: 1_500,
    retry: 400,
    callTimeout: 1_000,
    candidateDelay: 700,
    rest: 3_000,
  },
  settleDelay: 2_000,
  retry: 300,
  longestRetry: 2_000,
  planPeriod: 500,
};

/**
 * Options under which holders do not alternate within a time that the platform states.
 *
 * @param holderRest - holders must not act in the order A, B, A within this time
 * @example
 * ```ts
 * const options = getDutyOptions(3_000);
 * ```
 * @public
 */
export function getDutyOptions(holderRest: Milliseconds): DutyOptions {
  const { lease } = dutyOptions;
  const span = Math.max(lease.span, holderRest + lease.margin);
  return { ...dutyOptions, lease: { ...lease, span, rest: holderRest } };
}
