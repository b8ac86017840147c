import type { QueuePlace } from './QueuePlace.js';
import { FloorCredits } from './FloorCredits.js';
import type { FloorOptions } from './FloorCredits.js';
import type { Lane } from './Lane.js';
import type { RunFunction } from './RunFunction.js';
import { TierQueue } from './TierQueue.js';
import type { WaitingItem } from './WaitingItem.js';

/**
 * Decides whether the next request of a lane could run now.
 *
 * @param lane - the requests of one class for one pool of replicas
 * @param credited - whether the class goes first because its floor is due
 * @internal
 */
export type LaneGate = (lane: Lane, credited: boolean) => boolean;

/**
 * The queue of one service, with the interface that p-queue expects of its `queueClass`.
 *
 * A class whose floor is due goes first (see `FloorCredits`), then the most urgent tier. Within a
 * tier, workspaces share by weight (see `TierQueue`); within a workspace, the oldest request goes
 * first.
 *
 * The queue guarantees two bounds, counted in dispatches made while a pool has room. Let `C` be the
 * number of less urgent classes with waiting requests and `S` the sum of their floors, at most
 * `maxFloorSum`:
 *
 * - An urgent request with `k` requests of its tier ahead of it is dispatched within
 *   `ceil((k + 1 + C) / (1 - S))` dispatches: of `n` consecutive dispatches the floors take at most
 *   `C + S * n`, because each class starts with at most one credit and earns its floor with each
 *   dispatch.
 * - A class with floor `f` (after scaling) is served within `ceil(1 / f) + C` dispatches: it
 *   earns a full credit in `ceil(1 / f)`, and at most the other classes are ahead of it then.
 *
 * @public
 */
export class ClassFairQueue {
  private readonly credits: FloorCredits;

  private readonly tiers: TierQueue[] = [];

  private readonly items = new Map<string, WaitingItem>();

  private selected: { lane: Lane } | undefined;

  private sequence = 0;

  /** @param options - the bounds of the floors */
  constructor(options: FloorOptions) {
    this.credits = new FloorCredits(options);
  }

  get size(): number {
    return this.items.size;
  }

  /** Part of p-queue's interface. */
  enqueue(run: RunFunction, options?: Partial<QueuePlace>): void {
    const place = options as QueuePlace;
    this.sequence += 1;
    const item = { run, place, sequence: this.sequence };
    this.selected = undefined;
    this.items.set(place.id, item);
    this.credits.add(place);
    this.getTier(place.serviceClass.tier).add(item);
  }

  /**
   * Part of p-queue's interface. Takes the request chosen by `select`, or the next one without a
   * gate if nothing is selected.
   */
  dequeue(): RunFunction | undefined {
    const lane = this.selected?.lane ?? this.selectLane(() => true);
    this.selected = undefined;
    if (lane === undefined) {
      return undefined;
    }
    const item = this.getTier(lane.tier).dequeue(lane);
    this.items.delete(item.place.id);
    this.credits.recordDispatch(item.place.serviceClass.name);
    this.credits.remove(item.place.serviceClass.name);
    return item.run;
  }

  /**
   * Part of p-queue's interface: the waiting requests of a tier, whose priority is the negated
   * tier.
   */
  filter({ priority }: Readonly<Partial<QueuePlace>>): RunFunction[] {
    return [...this.items.values()]
      .filter(({ place }) => -place.serviceClass.tier === priority)
      .map(({ run }) => run);
  }

  /** Part of p-queue's interface: moves a request to the tier that is the negated priority. */
  setPriority(id: string, priority: number): void {
    const item = this.items.get(id);
    if (item === undefined) {
      throw new ReferenceError(`request ${id} is not waiting`);
    }
    this.remove(id);
    const serviceClass = { ...item.place.serviceClass, tier: -priority };
    this.enqueue(item.run, { ...item.place, serviceClass });
  }

  /** Removes a request, as when its caller has left. */
  remove(id: string): void {
    const item = this.items.get(id);
    if (item === undefined) {
      return;
    }
    this.selected = undefined;
    this.items.delete(id);
    this.getTier(item.place.serviceClass.tier).remove(item);
    this.credits.remove(item.place.serviceClass.name);
  }

  /**
   * Chooses the request that the next `dequeue` takes.
   *
   * @param gate - whether the next request of a lane could run now
   * @returns false if no waiting request can run
   */
  select(gate: LaneGate): boolean {
    const lane = this.selectLane(gate);
    this.selected = lane && { lane };
    return lane !== undefined;
  }

  /**
   * Evicts a request to make room for a new one: the newest request of the workspace with the
   * largest backlog in the least urgent tier below the new request's. If there is no such tier, a
   * request of the same tier is evicted, provided that its workspace has a larger backlog by weight
   * than the new request's.
   *
   * @returns the id of the evicted request, or undefined if the new request itself has to be
   * refused
   */
  evictFor({ serviceClass, workspace, weight }: QueuePlace): string | undefined {
    const { tier } = serviceClass;
    const leastUrgent = this.tiers.findLast((each) => each?.heaviest !== undefined);
    if (leastUrgent === undefined || leastUrgent.tier < tier) {
      return undefined;
    }
    const { heaviest } = leastUrgent;
    if (leastUrgent.tier === tier) {
      const newBacklog = (leastUrgent.getUndispatchedCount(workspace) + 1) / weight;
      if (heaviest!.getBacklog() <= newBacklog) {
        return undefined;
      }
    }
    const { id } = heaviest!.getNewestUndispatched()!.place;
    this.remove(id);
    return id;
  }

  /**
   * Estimates how many requests of its class would be dispatched before a new request: all that
   * wait, or fewer if other workspaces hold most of the queue.
   */
  estimateRequestsAhead({ serviceClass, workspace, weight }: QueuePlace): number {
    const tier = this.getTier(serviceClass.tier);
    const waiting = this.credits.getWaiting(serviceClass.name);
    const ownCount = tier.getUndispatchedCount(workspace) + 1;
    return Math.min(waiting, (ownCount * (tier.activeWeight + weight)) / weight);
  }

  /** Whether any request of the same class waits for the same pool. */
  hasLane(place: QueuePlace): boolean {
    return this.getTier(place.serviceClass.tier).hasLane(place);
  }

  /** The number of waiting requests of a class. */
  getWaiting(className: string): number {
    return this.credits.getWaiting(className);
  }

  /** The tier that a class overtakes when its floor is due. */
  getOvertakenTier(className: string): number | undefined {
    return this.credits.getOvertakenTier(className);
  }

  /** The credits of all classes with waiting requests. */
  getCredits(): Record<string, number> {
    return this.credits.getCredits();
  }

  private selectLane(gate: LaneGate): Lane | undefined {
    return this.selectCreditedLane(gate) ?? this.selectLaneByTier(gate);
  }

  private selectCreditedLane(gate: LaneGate): Lane | undefined {
    let found: Lane | undefined;
    Array.from(this.credits.getCredited()).some((className) => {
      this.tiers.some((tier) => {
        found = tier.select((lane) => lane.className === className && gate(lane, true));
        return found !== undefined;
      });
      return found !== undefined;
    });
    return found;
  }

  private selectLaneByTier(gate: LaneGate): Lane | undefined {
    let found: Lane | undefined;
    this.tiers.some((tier) => {
      found = tier.select((lane) => gate(lane, false));
      return found !== undefined;
    });
    return found;
  }

  private getTier(tier: number): TierQueue {
    const known = this.tiers[tier];
    if (known !== undefined) {
      return known;
    }
    const created = new TierQueue(tier);
    this.tiers[tier] = created;
    return created;
  }
}
