import type { RequestRecord } from '../Scheduler/RequestRecord.js';
import { LinkedList } from '../structures/LinkedList.js';
import type { ListNode } from '../structures/LinkedList.js';

/** Running requests of a tier looked at for one that fits. */
const MAX_LOOKED_AT = 32;

/**
 * The running requests of a service that may be stopped for an urgent one, by tier, in the order
 * in which they were dispatched.
 *
 * @internal
 */
export class PreemptionList {
  private readonly maxPreemptions: number;

  private readonly tiers: LinkedList<RequestRecord>[] = [];

  private readonly nodes = new Map<RequestRecord, ListNode<RequestRecord>>();

  /** @param maxPreemptions - after which a request is left alone, so that it ends in time */
  constructor(maxPreemptions: number) {
    this.maxPreemptions = maxPreemptions;
  }

  /** Adds a request that was just dispatched, if it may be preempted at all. */
  add(record: RequestRecord): void {
    const { serviceClass } = record.request;
    if (serviceClass.preemptible && record.canGoOn && record.preemptions < this.maxPreemptions) {
      const list = this.tiers[record.tier] ?? new LinkedList<RequestRecord>();
      this.tiers[record.tier] = list;
      this.nodes.set(record, list.append(record));
    }
  }

  remove(record: RequestRecord): void {
    const node = this.nodes.get(record);
    if (node !== undefined) {
      this.nodes.delete(record);
      this.tiers[record.tier]!.remove(node);
    }
  }

  /**
   * The request to stop for an urgent one: of the least urgent tier, which must be strictly less
   * urgent, the one with least of its answer delivered, since the rest of a long one ends sooner.
   * Of a tier, those dispatched last are looked at.
   *
   * @param tier - of the urgent request
   * @param fits - whether its replica could run the urgent request
   */
  find(tier: number, fits: (victim: RequestRecord) => boolean): RequestRecord | undefined {
    for (let lowest = this.tiers.length - 1; lowest > tier; lowest -= 1) {
      const victim = this.tiers[lowest]?.findLeast(
        (record) => (record.canGoOn && fits(record) ? record.delivered : undefined),
        MAX_LOOKED_AT,
      );
      if (victim !== undefined) {
        return victim;
      }
    }
    return undefined;
  }
}
