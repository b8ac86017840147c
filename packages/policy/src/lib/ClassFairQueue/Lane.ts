import { Heap } from '../structures/Heap.js';
import { LinkedList } from '../structures/LinkedList.js';
import type { ListNode } from '../structures/LinkedList.js';
import type { WaitingItem } from './WaitingItem.js';
import type { WorkspaceQueue } from './WorkspaceQueue.js';

function compareWorkspaceQueues(left: WorkspaceQueue, right: WorkspaceQueue): number {
  return left.startTag - right.startTag || left.head!.sequence - right.head!.sequence;
}

/**
 * The waiting requests of one class for one pool of replicas. Requests that were dispatched before
 * are kept apart from the others, which are queued by workspace.
 *
 * @internal
 */
export class Lane {
  readonly className: string;

  readonly tier: number;

  readonly pool: string;

  /** The queues of the workspaces, with the one to serve next on top. */
  readonly workspaceQueues = new Heap<WorkspaceQueue>(compareWorkspaceQueues);

  /**
   * Requests that were dispatched before, in the order of their return. Their workspaces have
   * already been charged, and the work done for them is lost if they are given up.
   */
  private readonly resumed = new LinkedList<WaitingItem>();

  private readonly resumedNodes = new Map<WaitingItem, ListNode<WaitingItem>>();

  constructor(className: string, tier: number, pool: string) {
    this.className = className;
    this.tier = tier;
    this.pool = pool;
  }

  get isEmpty(): boolean {
    return this.workspaceQueues.size === 0 && this.resumed.size === 0;
  }

  /** The next request among those that were dispatched before. */
  get nextResumed(): WaitingItem | undefined {
    return this.resumed.head;
  }

  addResumed(item: WaitingItem): void {
    this.resumedNodes.set(item, this.resumed.append(item));
  }

  removeResumed(item: WaitingItem): void {
    this.resumed.remove(this.resumedNodes.get(item)!);
    this.resumedNodes.delete(item);
  }

  /** Whether the next request of this lane goes before that of another lane of the same tier. */
  isBefore(other: Lane): boolean {
    const ownResumed = this.nextResumed;
    const otherResumed = other.nextResumed;
    if (ownResumed !== undefined || otherResumed !== undefined) {
      return (
        otherResumed === undefined ||
        (ownResumed !== undefined && ownResumed.sequence < otherResumed.sequence)
      );
    }
    return compareWorkspaceQueues(this.workspaceQueues.peek()!, other.workspaceQueues.peek()!) < 0;
  }
}
