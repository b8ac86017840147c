import type { Milliseconds } from '@apricotrill/utils';

/**
 * Timing of a lease. It determines the load on the store: the holder makes one write and each other
 * candidate one read per `renewalInterval`.
 *
 * @public
 */
export interface LeaseOptions {
  /** How long other candidates wait without a renewal before they take over. Default 15,000 ms. */
  duration: Milliseconds;
  /**
   * The holder stops acting this long before the lease expires, to allow for clocks that run at
   * different speeds and for orders that are still in transit. Default 3,000 ms.
   */
  safetyMargin: Milliseconds;
  /**
   * Interval between renewals by the holder and between reads by other candidates. Default 5,000
   * ms.
   */
  renewalInterval: Milliseconds;
  /** Delay before a call that failed or had a conflict is retried. Default 1,000 ms. */
  retryDelay: Milliseconds;
  /** Timeout of a call to the store. Default 3,000 ms. */
  callTimeout: Milliseconds;
  /** Maximum number of daemons, in rendezvous order, that contend for one lease. Default 3. */
  maxCandidates: number;
  /** Additional takeover delay per rank, so that candidates do not race. Default 2,000 ms. */
  candidateDelay: Milliseconds;
  /**
   * How long a holder that is no longer the preferred candidate keeps the lease before releasing
   * it, so that leases spread over the daemons again after a rolling restart. Default 300,000 ms.
   */
  yieldAfter: Milliseconds;
  /**
   * How long a released lease stays vacant, for receivers that limit how often the holder changes.
   * Default 0.
   */
  releaseCooldown: Milliseconds;
}

/**
 * Default options, for duties that tolerate a gap of several seconds.
 *
 * @public
 */
export const defaultLeaseOptions: LeaseOptions = {
  duration: 15_000,
  safetyMargin: 3_000,
  renewalInterval: 5_000,
  retryDelay: 1_000,
  callTimeout: 3_000,
  maxCandidates: 3,
  candidateDelay: 2_000,
  yieldAfter: 300_000,
  releaseCooldown: 0,
};
