import type { Milliseconds } from '@apricotrill/utils';

/**
 * How a lease is timed. Rates follow from these: a held lease costs one write each `renewal`, a
 * stand-by one read each `renewal`.
 *
 * @public
 */
export interface LeaseOptions {
  /** How long others wait, seeing no renewal, before they take the lease over. Default 15,000 ms. */
  span: Milliseconds;
  /**
   * How long before the end of the span the holder stops believing, to cover clocks that run at
   * unequal speed and orders that are on their way. Default 3,000 ms.
   */
  margin: Milliseconds;
  /** Between two renewals of the holder, and between two looks of a stand-by. Default 5,000 ms. */
  renewal: Milliseconds;
  /** Before a call that failed or met a conflict is tried again. Default 1,000 ms. */
  retry: Milliseconds;
  /** A call at the store with no answer by then counts as lost. Default 3,000 ms. */
  callTimeout: Milliseconds;
  /** How many daemons, in rendezvous order, stand by for one lease. Default 3. */
  candidates: number;
  /** How much longer each rank waits, so that stand-bys don't race. Default 2,000 ms. */
  candidateDelay: Milliseconds;
  /**
   * How long a holder that is no longer the preferred daemon keeps the lease before it releases
   * it, so that duties spread again after a rolling restart. Default 300,000 ms.
   */
  yieldAfter: Milliseconds;
  /** How long a released lease stays free, for receivers that limit changes of holder. Default 0. */
  rest: Milliseconds;
}

/**
 * The defaults, for duties that may wait some seconds.
 *
 * @public
 */
export const defaultLeaseOptions: LeaseOptions = {
  span: 15_000,
  margin: 3_000,
  renewal: 5_000,
  retry: 1_000,
  callTimeout: 3_000,
  candidates: 3,
  candidateDelay: 2_000,
  yieldAfter: 300_000,
  rest: 0,
};
