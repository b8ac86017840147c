import { Heap } from '../structures/Heap.js';
import { Lane } from './Lane.js';
import type { QueuePlace } from './QueuePlace.js';
import type { WaitingItem } from './WaitingItem.js';
import { WorkspaceAccount } from './WorkspaceAccount.js';
import { WorkspaceQueue } from './WorkspaceQueue.js';

/** Accounts kept before idle ones are swept; the limit doubles with those that remain. */
const IDLE_ACCOUNTS = 128;

function getLaneKey({ serviceClass, pool }: QueuePlace): string {
  return `${serviceClass.name}\n${pool}`;
}

/**
 * The waiting requests of one tier, shared among workspaces by weight with start-time fair
 * queueing (Goyal, Vin and Cheng, 1996): each workspace's next request carries a start tag in
 * virtual time, the smallest goes first, and a dispatch moves the workspace's next tag by one over
 * its weight. A workspace that was idle starts at the present virtual time, so that it gains
 * nothing by having waited. Each operation costs the logarithm of the workspaces that wait.
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

  private count = 0;

  private weights = 0;

  /** How many accounts there may be before idle ones are swept. */
  private sweepAt = IDLE_ACCOUNTS;

  constructor(tier: number) {
    this.tier = tier;
  }

  get size(): number {
    return this.count;
  }

  /** The sum of the weights of the workspaces that wait. */
  get activeWeight(): number {
    return this.weights;
  }

  /** The workspace with the most requests by weight that may give way. */
  get heaviest(): WorkspaceAccount | undefined {
    const account = this.backlogs.peek();
    return account !== undefined && account.fresh > 0 ? account : undefined;
  }

  add(item: WaitingItem): void {
    const lane = this.getLane(item);
    this.count += 1;
    if (item.place.resumed) {
      lane.addResumed(item);
    } else {
      this.addFresh(item, lane);
    }
  }

  remove(item: WaitingItem): void {
    const lane = this.getLane(item);
    this.count -= 1;
    if (item.place.resumed) {
      lane.removeResumed(item);
    } else {
      this.removeFresh(item, lane);
    }
    if (lane.isEmpty) {
      this.lanes.delete(getLaneKey(item.place));
    }
    this.forgetIdle();
  }

  /** Takes out the next request of a lane and charges its workspace. */
  serve(lane: Lane): WaitingItem {
    const queue = lane.queues.peek();
    const item = lane.nextResumed ?? queue!.head!;
    if (!item.place.resumed) {
      const { account, start } = queue!;
      this.virtualTime = Math.max(this.virtualTime, start);
      account.charge(start);
      this.restart(account);
    }
    this.remove(item);
    return item;
  }

  /** The lane to serve next among those that pass. */
  select(passes: (lane: Lane) => boolean): Lane | undefined {
    let best: Lane | undefined;
    this.lanes.forEach((lane) => {
      if ((best === undefined || lane.isBefore(best)) && passes(lane)) {
        best = lane;
      }
    });
    return best;
  }

  /** Whether any request of the class waits for the pool. */
  hasLane(place: QueuePlace): boolean {
    return this.lanes.has(getLaneKey(place));
  }

  /** Waiting requests of a workspace that were never dispatched. */
  getFresh(workspace: string): number {
    return this.accounts.get(workspace)?.fresh ?? 0;
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

  private addFresh(item: WaitingItem, lane: Lane): void {
    const account = this.getAccount(item.place.workspace);
    this.weights -= account.fresh > 0 ? account.share : 0;
    account.setWeight(item.place.weight);
    this.weights += account.share;
    const queue = account.queues.get(lane) ?? new WorkspaceQueue(account);
    queue.add(item);
    if (queue.size === 1) {
      queue.startAt(Math.max(this.virtualTime, account.finish));
      account.queues.set(lane, queue);
      lane.queues.push(queue);
    }
    this.changeFresh(account, 1);
  }

  private removeFresh(item: WaitingItem, lane: Lane): void {
    const account = this.accounts.get(item.place.workspace)!;
    const queue = account.queues.get(lane)!;
    // The heap orders by heads: an emptied queue leaves it while it still has one.
    if (queue.size === 1) {
      lane.queues.remove(queue);
      account.queues.delete(lane);
    }
    queue.remove(item);
    lane.queues.update(queue);
    this.changeFresh(account, -1);
    if (account.fresh === 0) {
      this.weights -= account.share;
      this.backlogs.remove(account);
    }
  }

  private changeFresh(account: WorkspaceAccount, change: number): void {
    account.changeFresh(change);
    if (this.backlogs.has(account)) {
      this.backlogs.update(account);
    } else {
      this.backlogs.push(account);
    }
  }

  /** Moves the workspace's start tags after a charge, in every lane where it waits. */
  private restart(account: WorkspaceAccount): void {
    account.queues.forEach((queue, lane) => {
      queue.startAt(Math.max(this.virtualTime, account.finish));
      lane.queues.update(queue);
    });
  }

  /** Forgets what an idle tier, or an idle workspace, no longer needs. */
  private forgetIdle(): void {
    if (this.count === 0) {
      this.accounts.clear();
      this.virtualTime = 0;
      this.weights = 0;
    } else if (this.accounts.size > this.sweepAt) {
      this.sweep();
    }
  }

  /** An idle workspace whose share lies in the past would start afresh anyway. */
  private sweep(): void {
    this.accounts.forEach((account, workspace) => {
      if (account.fresh === 0 && account.finish <= this.virtualTime) {
        this.accounts.delete(workspace);
      }
    });
    this.sweepAt = 2 * this.accounts.size + IDLE_ACCOUNTS;
  }
}
