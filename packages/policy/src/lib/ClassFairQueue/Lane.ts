import { Heap } from '../structures/Heap.js';
import { LinkedList } from '../structures/LinkedList.js';
import type { ListNode } from '../structures/LinkedList.js';
import type { WaitingItem } from './WaitingItem.js';
import type { WorkspaceQueue } from './WorkspaceQueue.js';

function compareQueues(left: WorkspaceQueue, right: WorkspaceQueue): number {
  return left.start - right.start || left.head!.sequence - right.head!.sequence;
}

/**
 * The waiting requests of one class for one pool of replicas: those that were dispatched before,
 * and the others by workspace.
 *
 * @internal
 */
export class Lane {
  readonly className: string;

  readonly tier: number;

  readonly pool: string;

  /** Workspaces that wait here, the one to serve next on top. */
  readonly queues = new Heap<WorkspaceQueue>(compareQueues);

  /**
   * Requests that were dispatched before, in the order in which they came back. Their workspaces
   * were charged then, and what they have computed so far is lost if they are given up.
   */
  private readonly resumed = new LinkedList<WaitingItem>();

  private readonly nodes = new Map<WaitingItem, ListNode<WaitingItem>>();

  constructor(className: string, tier: number, pool: string) {
    this.className = className;
    this.tier = tier;
    this.pool = pool;
  }

  get isEmpty(): boolean {
    return this.queues.size === 0 && this.resumed.size === 0;
  }

  /** The next request that was dispatched before. */
  get nextResumed(): WaitingItem | undefined {
    return this.resumed.head;
  }

  addResumed(item: WaitingItem): void {
    this.nodes.set(item, this.resumed.append(item));
  }

  removeResumed(item: WaitingItem): void {
    this.resumed.remove(this.nodes.get(item)!);
    this.nodes.delete(item);
  }

  /** Whether this lane's next request goes before another's of the same tier. */
  isBefore(other: Lane): boolean {
    const own = this.nextResumed;
    const others = other.nextResumed;
    if (own !== undefined || others !== undefined) {
      return others === undefined || (own !== undefined && own.sequence < others.sequence);
    }
    return compareQueues(this.queues.peek()!, other.queues.peek()!) < 0;
  }
}
