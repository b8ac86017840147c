import { Heap } from '../structures/Heap.js';
import type { WorkspaceQueue } from './WorkspaceQueue.js';

function compareQueues(left: WorkspaceQueue, right: WorkspaceQueue): number {
  return left.start - right.start || left.head!.sequence - right.head!.sequence;
}

/**
 * The waiting requests of one class for one pool of replicas, by workspace.
 *
 * @internal
 */
export class Lane {
  readonly className: string;

  readonly tier: number;

  readonly pool: string;

  /** Workspaces that wait here, the one to serve next on top. */
  readonly queues = new Heap<WorkspaceQueue>(compareQueues);

  constructor(className: string, tier: number, pool: string) {
    this.className = className;
    this.tier = tier;
    this.pool = pool;
  }

  /** Whether this lane's next request goes before another's of the same tier. */
  isBefore(other: Lane): boolean {
    return compareQueues(this.queues.peek()!, other.queues.peek()!) < 0;
  }
}
