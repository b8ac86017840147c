import { LinkedList } from '../structures/LinkedList.js';
import type { ListNode } from '../structures/LinkedList.js';
import type { WaitingItem } from './WaitingItem.js';
import type { WorkspaceAccount } from './WorkspaceAccount.js';

/**
 * The waiting requests of one workspace in one lane that were never dispatched, oldest first.
 *
 * @internal
 */
export class WorkspaceQueue {
  readonly account: WorkspaceAccount;

  private currentStartTag = 0;

  private readonly items = new LinkedList<WaitingItem>();

  private readonly nodes = new Map<string, ListNode<WaitingItem>>();

  constructor(account: WorkspaceAccount) {
    this.account = account;
  }

  /** The virtual time at which the head may start; the lane serves the smallest tag first. */
  get startTag(): number {
    return this.currentStartTag;
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

  setStartTag(virtualTime: number): void {
    this.currentStartTag = virtualTime;
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
