import type { RequestRecord } from '../Scheduler/RequestRecord.js';
import { LinkedList } from '../structures/LinkedList.js';
import type { ListNode } from '../structures/LinkedList.js';

/** The maximum number of running requests per tier that are examined in a search. */
const MAX_CANDIDATES = 32;

/**
 * The running requests of a service that may be preempted for a more urgent one, by tier and in the
 * order of their dispatch.
 *
 * @internal
 */
export class PreemptionList {
  private readonly maxPreemptions: number;

  private readonly listsByTier: LinkedList<RequestRecord>[] = [];

  private readonly nodes = new Map<RequestRecord, ListNode<RequestRecord>>();

  /** @param maxPreemptions - how often a request may be preempted; bounds its total delay */
  constructor(maxPreemptions: number) {
    this.maxPreemptions = maxPreemptions;
  }

  /** Adds a request that was just dispatched, if it may be preempted. */
  add(record: RequestRecord): void {
    const { serviceClass } = record.request;
    if (serviceClass.preemptible && record.canMove && record.preemptions < this.maxPreemptions) {
      const list = this.listsByTier[record.tier] ?? new LinkedList<RequestRecord>();
      this.listsByTier[record.tier] = list;
      this.nodes.set(record, list.append(record));
    }
  }

  remove(record: RequestRecord): void {
    const node = this.nodes.get(record);
    if (node !== undefined) {
      this.nodes.delete(record);
      this.listsByTier[record.tier]!.remove(node);
    }
  }

  /**
   * Finds the request to preempt for a more urgent one. It is taken from the least urgent tier that
   * has an eligible request, which must be strictly less urgent. Within the tier, the request with
   * the fewest delivered tokens is chosen, since requests that have delivered more end sooner. Only
   * the most recently dispatched requests of a tier are examined.
   *
   * @param tier - the tier of the more urgent request
   * @param isEligible - whether preempting this request would let the more urgent one run
   */
  findVictim(
    tier: number,
    isEligible: (victim: RequestRecord) => boolean,
  ): RequestRecord | undefined {
    for (let lowerTier = this.listsByTier.length - 1; lowerTier > tier; lowerTier -= 1) {
      const victim = this.listsByTier[lowerTier]?.findMin(
        (record) => (record.canMove && isEligible(record) ? record.deliveredTokens : undefined),
        MAX_CANDIDATES,
      );
      if (victim !== undefined) {
        return victim;
      }
    }
    return undefined;
  }
}
