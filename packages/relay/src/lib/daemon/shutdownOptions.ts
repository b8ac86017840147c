import type { Milliseconds } from '@apricotrill/utils';

/** Timing of a graceful shutdown. */
export const shutdownOptions = {
  /**
   * New connections are accepted for this long: the load balancer checks readiness once a second, and
   * stops sending traffic after two failed checks.
   */
  acceptPeriod: 3_000 satisfies Milliseconds,
  /** The daemon exits this long before the end of the grace period, even with requests in flight. */
  exitReserve: 300 satisfies Milliseconds,
  /** Maximum wait for its own connections to close; part of the reserve. */
  disposeTimeout: 100 satisfies Milliseconds,
  /** Maximum wait for the store before the ports are released to a successor. */
  departureTimeout: 1_000 satisfies Milliseconds,
  /** How often open connections are counted. */
  pollInterval: 50 satisfies Milliseconds,
};
