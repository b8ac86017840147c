import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import type { ReplicaTable } from '../ReplicaChooser/ReplicaTable.js';
import type { RetryBudget } from '../RetryBudget/RetryBudget.js';
import type { WaitingRoom } from '../WaitingRoom/WaitingRoom.js';
import type { RunningRequests } from './RunningRequests.js';

/**
 * What this daemon thinks of a replica.
 *
 * @public
 */
export interface ReplicaSnapshot {
  id: string;
  /** Requests of this daemon that run there. */
  running: number;
  /** How many it may have there: its share, and what is lent to it. */
  limit: number;
  share: number;
  /** The load by slots as it probably is, with one more request. */
  pressure: number;
  leaving: boolean;
  /** Failed or silent a moment ago. */
  avoided: boolean;
  /** Much slower than its peers. */
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
  /** Credits of the floors, by class that waits. */
  credits: Record<string, number>;
  /** Retries that are left. */
  retries: number;
  replicas: ReplicaSnapshot[];
}

function getReplicaSnapshot(state: ReplicaState, now: Milliseconds): ReplicaSnapshot {
  return {
    id: state.id,
    running: state.load.own,
    limit: state.getLimit(now),
    share: state.share.slots,
    pressure: state.getPressure(now),
    leaving: state.isLeaving,
    avoided: state.isAvoided(now),
    convicted: state.convicted,
  };
}

/** @internal */
export function getServiceSnapshot(parts: {
  service: string;
  room: WaitingRoom;
  running: RunningRequests;
  budget: RetryBudget;
  table: ReplicaTable;
  now: Milliseconds;
}): ServiceSnapshot {
  const { service, room, running, budget, table, now } = parts;
  return {
    service,
    waiting: room.getWaiting(),
    running: running.getByClass(),
    credits: room.getCredits(),
    retries: budget.available,
    replicas: [...table.getAll()].map((state) => getReplicaSnapshot(state, now)),
  };
}
