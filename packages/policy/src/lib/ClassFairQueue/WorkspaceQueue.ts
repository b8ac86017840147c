import { LinkedList } from '../structures/LinkedList.js';
import type { ListNode } from '../structures/LinkedList.js';
import type { WaitingItem } from './WaitingItem.js';
import type { WorkspaceAccount } from './WorkspaceAccount.js';

/**
 * The waiting requests of one workspace in one lane that were not dispatched yet, the oldest first.
 *
 * @internal
 */
export class WorkspaceQueue {
  readonly account: WorkspaceAccount;

  private startTime = 0;

  private readonly items = new LinkedList<WaitingItem>();

  private readonly nodes = new Map<string, ListNode<WaitingItem>>();

  constructor(account: WorkspaceAccount) {
    this.account = account;
  }

  /** Virtual time at which its head may start; the lane serves the smallest first. */
  get start(): number {
    return this.startTime;
  }

  get size(): number {
    return this.items.size;
  }

  get head(): WaitingItem | undefined {
    return this.items.head;
  }

  get newest(): WaitingItem | undefined {
    return this.items.tail;
  }

  startAt(virtualTime: number): void {
    this.startTime = virtualTime;
  }

  add(item: WaitingItem): void {
    this.nodes.set(item.place.id, this.items.append(item));
  }

  remove(item: WaitingItem): void {
    const node = this.nodes.get(item.place.id);
    if (node !== undefined) {
      this.nodes.delete(item.place.id);
      this.items.remove(node);
    }
  }
}
