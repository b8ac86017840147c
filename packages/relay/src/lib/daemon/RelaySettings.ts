import type { Milliseconds } from '@apricotrill/utils';

/** Where a port is bound. */
export interface ListenAddress {
  host: string;
  port: number;
}

/**
 * What one daemon is told when it starts.
 *
 * @public
 */
export interface RelaySettings {
  id: string;
  availabilityZone: string;
  callers: ListenAddress;
  /** Readiness, for the balancer. */
  status: ListenAddress;
  /** Metrics, for operators, where they are not on the status port. */
  metrics: ListenAddress | undefined;
  /** Datagrams between daemons. */
  peers: ListenAddress;
  /** Paths beside `/ready` at which the balancer asks. */
  readyPaths: string[];
  /** Repeats that all daemons together may send to a service. */
  retries: { ratio: number; window: Milliseconds; slack: number };
  /** How soon a change in the store must be in force, in every daemon. */
  changeBound: Milliseconds;
  /** How long the process may live after it was told to stop. */
  grace: Milliseconds;
}
