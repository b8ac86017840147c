import type { Milliseconds } from '@apricotrill/utils';
import type { InstanceSize } from '../decide/Fleet/getPlacementCapacity.js';

/** The address that a port is bound to. */
export interface ListenAddress {
  host: string;
  port: number;
}

/**
 * Settings of one daemon.
 *
 * @public
 */
export interface RelaySettings {
  id: string;
  /** Whether the whole system starts for the first time, so that there was no traffic before. */
  isFirstStart: boolean;
  availabilityZone: string;
  /** Absent if it is not stated. */
  instance?: InstanceSize;
  callers: ListenAddress;
  /** Readiness endpoint for the load balancer. */
  status: ListenAddress;
  /** Serves metrics on a second port; undefined if they are only on the status port. */
  metrics: ListenAddress | undefined;
  /** UDP datagrams between daemons, and HTTP requests for shared objects. */
  peers: ListenAddress;
  /** Additional readiness paths for the load balancer, besides `/ready`. */
  readyPaths: string[];
  /** Retry budget of a service across all daemons. */
  retries: { ratio: number; window: Milliseconds; slack: number };
  /** Maximum time until every daemon has applied a change in the store. */
  changeBound: Milliseconds;
  /** Memory of the process in bytes, beyond which it is killed; absent if it is not bounded. */
  memoryLimit?: number;
  /** Maximum time from the stop signal until the process exits. */
  grace: Milliseconds;
}
