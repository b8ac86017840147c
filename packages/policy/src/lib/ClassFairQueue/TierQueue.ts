import { Heap } from '../structures/Heap.js';
import { Lane } from './Lane.js';
import type { QueuePlace } from './QueuePlace.js';
import type { WaitingItem } from './WaitingItem.js';
import { WorkspaceAccount } from './WorkspaceAccount.js';
import { WorkspaceQueue } from './WorkspaceQueue.js';

/**
 * Number of accounts from which idle ones are evicted. After each sweep the threshold is raised to
 * this number plus twice the number of remaining accounts.
 */
const MIN_ACCOUNTS_BEFORE_SWEEP = 128;

function getLaneKey({ serviceClass, pool }: QueuePlace): string {
  return `${serviceClass.name}\n${pool}`;
}

/**
 * The waiting requests of one tier. Workspaces share the tier by weight with start-time fair
 * queueing (Goyal, Vin and Cheng, 1996): the next request of each workspace has a start tag in
 * virtual time, the smallest tag goes first, and each dispatch advances the tag of its workspace
 * by the inverse of the weight. A workspace that was idle starts at the current virtual time, so
 * that idling earns no advantage. Each operation takes time logarithmic in the number of waiting
 * workspaces.
 *
 * @internal
 */
export class TierQueue {
  readonly tier: number;

  private virtualTime = 0;

  private readonly accounts = new Map<string, WorkspaceAccount>();

  private readonly backlogs = new Heap<WorkspaceAccount>(
    (left, right) => right.getBacklog() - left.getBacklog(),
  );

  private readonly lanes = new Map<string, Lane>();

  private waitingCount = 0;

  private totalWeight = 0;

  /** Maximum number of accounts before idle ones are evicted. */
  private maxAccounts = MIN_ACCOUNTS_BEFORE_SWEEP;

  constructor(tier: number) {
    this.tier = tier;
  }

  get size(): number {
    return this.waitingCount;
  }

  /** The sum of the weights of the workspaces with requests that were not dispatched yet. */
  get activeWeight(): number {
    return this.totalWeight;
  }

  /** The workspace with the largest backlog of evictable requests by weight. */
  get heaviest(): WorkspaceAccount | undefined {
    const account = this.backlogs.peek();
    return account !== undefined && account.undispatchedCount > 0 ? account : undefined;
  }

  add(item: WaitingItem): void {
    const lane = this.getLane(item);
    this.waitingCount += 1;
    if (item.place.resumed) {
      lane.addResumed(item);
    } else {
      this.addUndispatched(item, lane);
    }
  }

  remove(item: WaitingItem): void {
    const lane = this.getLane(item);
    this.waitingCount -= 1;
    if (item.place.resumed) {
      lane.removeResumed(item);
    } else {
      this.removeUndispatched(item, lane);
    }
    if (lane.isEmpty) {
      this.lanes.delete(getLaneKey(item.place));
    }
    this.clearIdle();
  }

  /** Removes the next request of a lane and charges its workspace. */
  dequeue(lane: Lane): WaitingItem {
    const queue = lane.workspaceQueues.peek();
    const item = lane.nextResumed ?? queue!.head!;
    if (!item.place.resumed) {
      const { account, startTag } = queue!;
      this.virtualTime = Math.max(this.virtualTime, startTag);
      account.charge(startTag);
      this.updateStartTags(account);
    }
    this.remove(item);
    return item;
  }

  /** The lane to serve next among those that can run. */
  select(canRun: (lane: Lane) => boolean): Lane | undefined {
    let best: Lane | undefined;
    this.lanes.forEach((lane) => {
      if ((best === undefined || lane.isBefore(best)) && canRun(lane)) {
        best = lane;
      }
    });
    return best;
  }

  /** Whether any request of the class waits for the pool. */
  hasLane(place: QueuePlace): boolean {
    return this.lanes.has(getLaneKey(place));
  }

  /** The number of waiting requests of a workspace that were never dispatched. */
  getUndispatchedCount(workspace: string): number {
    return this.accounts.get(workspace)?.undispatchedCount ?? 0;
  }

  private getAccount(workspace: string): WorkspaceAccount {
    const known = this.accounts.get(workspace);
    if (known !== undefined) {
      return known;
    }
    const account = new WorkspaceAccount(workspace);
    this.accounts.set(workspace, account);
    return account;
  }

  private getLane(item: WaitingItem): Lane {
    const key = getLaneKey(item.place);
    const known = this.lanes.get(key);
    if (known !== undefined) {
      return known;
    }
    const { serviceClass, pool } = item.place;
    const lane = new Lane(serviceClass.name, this.tier, pool);
    this.lanes.set(key, lane);
    return lane;
  }

  private addUndispatched(item: WaitingItem, lane: Lane): void {
    const account = this.getAccount(item.place.workspace);
    this.totalWeight -= account.undispatchedCount > 0 ? account.weight : 0;
    account.setWeight(item.place.weight);
    this.totalWeight += account.weight;
    const queue = account.queues.get(lane) ?? new WorkspaceQueue(account);
    queue.add(item);
    if (queue.size === 1) {
      queue.setStartTag(Math.max(this.virtualTime, account.finishTag));
      account.queues.set(lane, queue);
      lane.workspaceQueues.push(queue);
    }
    this.changeUndispatchedCount(account, 1);
  }

  private removeUndispatched(item: WaitingItem, lane: Lane): void {
    const account = this.accounts.get(item.place.workspace)!;
    const queue = account.queues.get(lane)!;
    // The heap compares the heads of queues, so a queue is removed before it becomes empty.
    if (queue.size === 1) {
      lane.workspaceQueues.remove(queue);
      account.queues.delete(lane);
    }
    queue.remove(item);
    lane.workspaceQueues.update(queue);
    this.changeUndispatchedCount(account, -1);
    if (account.undispatchedCount === 0) {
      this.totalWeight -= account.weight;
      this.backlogs.remove(account);
    }
  }

  private changeUndispatchedCount(account: WorkspaceAccount, change: number): void {
    account.changeUndispatchedCount(change);
    if (this.backlogs.has(account)) {
      this.backlogs.update(account);
    } else {
      this.backlogs.push(account);
    }
  }

  /** Updates the start tags of a workspace in all of its lanes after a charge. */
  private updateStartTags(account: WorkspaceAccount): void {
    account.queues.forEach((queue, lane) => {
      queue.setStartTag(Math.max(this.virtualTime, account.finishTag));
      lane.workspaceQueues.update(queue);
    });
  }

  /** Resets the tier if it is idle, and evicts accounts of idle workspaces if there are many. */
  private clearIdle(): void {
    if (this.waitingCount === 0) {
      this.accounts.clear();
      this.virtualTime = 0;
      this.totalWeight = 0;
    } else if (this.accounts.size > this.maxAccounts) {
      this.evictIdleAccounts();
    }
  }

  /** An idle workspace whose finish tag has passed would start at the current virtual time anyway. */
  private evictIdleAccounts(): void {
    this.accounts.forEach((account, workspace) => {
      if (account.undispatchedCount === 0 && account.finishTag <= this.virtualTime) {
        this.accounts.delete(workspace);
      }
    });
    this.maxAccounts = 2 * this.accounts.size + MIN_ACCOUNTS_BEFORE_SWEEP;
  }
}
