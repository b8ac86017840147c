import type { Replica, ServiceClass } from '@apricotrill/model';

/**
 * A replica as a baseline sees it.
 *
 * @internal
 */
export interface BaselineReplica {
  replica: Replica;
  /** Requests of this daemon that run there. */
  outstanding: number;
}

/**
 * What tells one baseline from another.
 *
 * @internal
 */
export interface BaselineRules {
  /** What goes into the decision log as the reason. */
  name: string;
  /** The rank in the queue, smallest first; equal ranks go by arrival. */
  getRank: (serviceClass: ServiceClass) => number;
  /** The priority that engines are told. */
  getPriority: (serviceClass: ServiceClass) => number;
  /** Chooses among the replicas with room; there is at least one. */
  choose: (open: readonly BaselineReplica[]) => BaselineReplica;
}
