import type { Milliseconds } from '@apricotrill/utils';

/**
 * What can be tuned in the decision core.
 *
 * @public
 */
export interface PolicyOptions {
  /** How often one request is sent to a replica, preemptions not counted; default 4. */
  maxAttempts: number;
  /** What a refused caller is told to wait at least; default 500 ms. */
  minRetryAfter: Milliseconds;
}

/**
 * The documented defaults.
 *
 * @public
 */
export const defaultPolicyOptions: PolicyOptions = {
  maxAttempts: 4,
  minRetryAfter: 500,
};
