import type { Lane } from './Lane.js';
import type { WaitingItem } from './WaitingItem.js';
import type { WorkspaceQueue } from './WorkspaceQueue.js';

/**
 * What one workspace has used of a tier, and what it has waiting there.
 *
 * @internal
 */
export class WorkspaceAccount {
  readonly workspace: string;

  /** Virtual time up to which it has used its share. */
  finish = 0;

  /** Its queue in each lane where it waits. */
  readonly queues = new Map<Lane, WorkspaceQueue>();

  private freshCount = 0;

  private weight = 1;

  constructor(workspace: string) {
    this.workspace = workspace;
  }

  /** Its waiting requests that were never dispatched: only these may have to give way. */
  get fresh(): number {
    return this.freshCount;
  }

  get share(): number {
    return this.weight;
  }

  /** Takes the weight that the newest request states; a weight of zero would stop its clock. */
  setWeight(weight: number): void {
    this.weight = weight > 0 ? weight : 1;
  }

  /** Waiting requests by weight: who has most gives way first. */
  getBacklog(): number {
    return this.freshCount / this.weight;
  }

  changeFresh(change: number): void {
    this.freshCount += change;
  }

  /** Charges one dispatch that started at the given virtual time. */
  charge(start: number): void {
    this.finish = start + 1 / this.weight;
  }

  /** Its newest request that was never dispatched. */
  getNewestFresh(): WaitingItem | undefined {
    let newest: WaitingItem | undefined;
    this.queues.forEach((queue) => {
      const candidate = queue.newest;
      if (candidate !== undefined && candidate.sequence > (newest?.sequence ?? -1)) {
        newest = candidate;
      }
    });
    return newest;
  }
}
