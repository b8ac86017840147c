import type { Replica, ServiceClass } from '@apricotrill/model';

/**
 * A replica as seen by a baseline.
 *
 * @internal
 */
export interface BaselineReplica {
  replica: Replica;
  /** The number of requests of this daemon that run at the replica. */
  outstanding: number;
}

/**
 * The rules in which baselines differ.
 *
 * @internal
 */
export interface BaselineStrategy {
  /** The reason written to the decision log. */
  name: string;
  /** The rank in the queue, smallest first; equal ranks are served in order of arrival. */
  getRank: (serviceClass: ServiceClass) => number;
  /** The priority sent to the engine. */
  getPriority: (serviceClass: ServiceClass) => number;
  /** Chooses among the replicas with room, of which there is at least one. */
  choose: (open: readonly BaselineReplica[]) => BaselineReplica;
}
