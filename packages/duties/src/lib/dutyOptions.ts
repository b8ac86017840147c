import { defaultLeaseOptions } from '@apricotrill/lease';
import type { LeaseOptions } from '@apricotrill/lease';
import type { Milliseconds } from '@apricotrill/utils';

/**
 * Options for the duties.
 *
 * @public
 */
export interface DutyOptions {
  /** The single lease for all duties. */
  lease: LeaseOptions;
  /** Time after the end of a window during which late counts are still accepted. */
  settleDelay: Milliseconds;
  /** Delay before a failed call is retried; doubled with each failure up to `maxRetryDelay`. */
  retryDelay: Milliseconds;
  maxRetryDelay: Milliseconds;
  /** Interval at which replica needs are evaluated. */
  planInterval: Milliseconds;
}

/** @public */
export const defaultDutyOptions: DutyOptions = {
  lease: {
    ...defaultLeaseOptions,
    duration: 5_000,
    safetyMargin: 1_500,
    renewalInterval: 1_500,
    retryDelay: 400,
    callTimeout: 1_000,
    candidateDelay: 700,
    releaseCooldown: 3_000,
  },
  settleDelay: 2_000,
  retryDelay: 300,
  maxRetryDelay: 2_000,
  planInterval: 500,
};

/**
 * Returns options under which lease holders do not alternate faster than the platform allows.
 *
 * @param holderCooldown - two holders must not act in the order A, B, A within this time
 * @example
 * ```ts
 * const options = getDutyOptions(3_000);
 * ```
 * @public
 */
export function getDutyOptions(holderCooldown: Milliseconds): DutyOptions {
  const { lease } = defaultDutyOptions;
  const duration = Math.max(lease.duration, holderCooldown + lease.safetyMargin);
  return { ...defaultDutyOptions, lease: { ...lease, duration, releaseCooldown: holderCooldown } };
}
