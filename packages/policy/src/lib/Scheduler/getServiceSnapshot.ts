import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import type { RetryBudget } from '../RetryBudget/RetryBudget.js';
import type { RequestQueue } from '../RequestQueue/RequestQueue.js';
import type { RunningRequests } from './RunningRequests.js';

/**
 * The state of a replica as seen by this daemon.
 *
 * @public
 */
export interface ReplicaSnapshot {
  id: string;
  /** Requests of this daemon that are running at the replica. */
  running: number;
  /**
   * The maximum number of requests that this daemon may have running at the replica: its share,
   * adjusted by load reports.
   */
  limit: number;
  /** This daemon's share of the slots of the replica. */
  share: number;
  /** The estimated load, with one more request, divided by the number of slots. */
  pressure: number;
  leaving: boolean;
  /** Temporarily not used, after a failure or timeout. */
  avoided: boolean;
  /** Marked as a straggler: much slower than the other replicas of its pool. */
  convicted: boolean;
}

/**
 * The state of one service at this daemon.
 *
 * @public
 */
export interface ServiceSnapshot {
  service: string;
  /** Waiting requests by class. */
  waiting: Record<string, number>;
  /** Running requests by class. */
  running: Record<string, number>;
  /** Credits towards the guaranteed minimum shares (floors), by waiting class. */
  credits: Record<string, number>;
  /** Retries left in the retry budget. */
  retries: number;
  replicas: ReplicaSnapshot[];
}

function getReplicaSnapshot(state: ReplicaState, now: Milliseconds): ReplicaSnapshot {
  return {
    id: state.id,
    running: state.load.ownRunning,
    limit: state.getLimit(now),
    share: state.share.slots,
    pressure: state.getPressure(now),
    leaving: state.isLeaving,
    avoided: state.isCoolingDown(now),
    convicted: state.isStraggler,
  };
}

/** @internal */
export function getServiceSnapshot(sources: {
  service: string;
  queue: RequestQueue;
  running: RunningRequests;
  retryBudget: RetryBudget;
  table: ReplicaTable;
  now: Milliseconds;
}): ServiceSnapshot {
  const { service, queue, running, retryBudget, table, now } = sources;
  return {
    service,
    waiting: queue.getWaiting(),
    running: running.getCountsByClass(),
    credits: queue.getCredits(),
    retries: retryBudget.available,
    replicas: [...table.getAll()].map((state) => getReplicaSnapshot(state, now)),
  };
}
