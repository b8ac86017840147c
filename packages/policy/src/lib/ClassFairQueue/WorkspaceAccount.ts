import type { Lane } from './Lane.js';
import type { WaitingItem } from './WaitingItem.js';
import type { WorkspaceQueue } from './WorkspaceQueue.js';

/**
 * The usage and the waiting requests of one workspace in a tier.
 *
 * @internal
 */
export class WorkspaceAccount {
  readonly workspace: string;

  /** The virtual time up to which the workspace has used its share. */
  finishTag = 0;

  /** The queues of the workspace by lane. */
  readonly queues = new Map<Lane, WorkspaceQueue>();

  private undispatched = 0;

  private currentWeight = 1;

  constructor(workspace: string) {
    this.workspace = workspace;
  }

  /** The number of waiting requests that were never dispatched; only these may be evicted. */
  get undispatchedCount(): number {
    return this.undispatched;
  }

  get weight(): number {
    return this.currentWeight;
  }

  /**
   * Sets the weight given by the newest request. A weight of zero counts as one, as it would
   * otherwise make the finish tag infinite.
   */
  setWeight(newWeight: number): void {
    this.currentWeight = newWeight > 0 ? newWeight : 1;
  }

  /** The number of evictable requests by weight; the largest backlog is evicted from first. */
  getBacklog(): number {
    return this.undispatched / this.currentWeight;
  }

  changeUndispatchedCount(change: number): void {
    this.undispatched += change;
  }

  /** Charges one dispatch with the given start tag. */
  charge(startTag: number): void {
    this.finishTag = startTag + 1 / this.currentWeight;
  }

  /** The newest request that was never dispatched. */
  getNewestUndispatched(): WaitingItem | undefined {
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
