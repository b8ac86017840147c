import type { QueuePlace } from './QueuePlace.js';
import { FloorCredits } from './FloorCredits.js';
import type { FloorOptions } from './FloorCredits.js';
import type { Lane } from './Lane.js';
import type { RunFunction } from './RunFunction.js';
import { TierQueue } from './TierQueue.js';
import type { WaitingItem } from './WaitingItem.js';

/**
 * Says whether a lane's next request could run now.
 *
 * @param lane - a class and a pool of replicas
 * @param credited - whether the class's floor puts it first
 * @internal
 */
export type LaneGate = (lane: Lane, credited: boolean) => boolean;

/**
 * The queue of one service, in the form that p-queue takes as its `queueClass`.
 *
 * Order: first a class whose floor is due (see `FloorCredits`), then the most urgent tier; within
 * a tier workspaces share by weight (see `TierQueue`); within a workspace the oldest first.
 *
 * Bounds, counted in dispatches made while a pool has room. Let `C` be the number of waiting
 * classes of less urgent tiers and `S` the sum of their floors, at most `maxFloorSum`:
 *
 * - An urgent request with `k` requests of its tier before it is dispatched within
 *   `ceil((k + 1 + C) / (1 - S))` dispatches: of `n` dispatches in a row the floors take at most
 *   `C + S * n`, because each class starts with at most one credit and earns its floor each time.
 * - A class with floor `f` (after scaling) is served within `ceil(1 / f) + C` dispatches: it
 *   earns a whole credit in `ceil(1 / f)`, and at most the other classes stand before it then.
 *
 * @public
 */
export class ClassFairQueue {
  private readonly credits: FloorCredits;

  private readonly tiers: TierQueue[] = [];

  private readonly items = new Map<string, WaitingItem>();

  private selected: { lane: Lane } | undefined;

  private sequence = 0;

  /** @param options - how floors are kept */
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

  /** Part of p-queue's interface: takes what `select` chose, or would choose with all gates open. */
  dequeue(): RunFunction | undefined {
    const lane = this.selected?.lane ?? this.findLane(() => true);
    this.selected = undefined;
    if (lane === undefined) {
      return undefined;
    }
    const item = this.getTier(lane.tier).serve(lane);
    this.items.delete(item.place.id);
    this.credits.serve(item.place.serviceClass.name);
    this.credits.remove(item.place.serviceClass.name);
    return item.run;
  }

  /** Part of p-queue's interface: the waiting requests of a tier, whose priority is its negative. */
  filter({ priority }: Readonly<Partial<QueuePlace>>): RunFunction[] {
    return [...this.items.values()]
      .filter(({ place }) => -place.serviceClass.tier === priority)
      .map(({ run }) => run);
  }

  /** Part of p-queue's interface: moves a request to the tier that is the negative priority. */
  setPriority(id: string, priority: number): void {
    const item = this.items.get(id);
    if (item === undefined) {
      throw new ReferenceError(`no request ${id} waits`);
    }
    this.remove(id);
    const serviceClass = { ...item.place.serviceClass, tier: -priority };
    this.enqueue(item.run, { ...item.place, serviceClass });
  }

  /** Takes a request out whose caller has left. */
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
   * Chooses what the next `dequeue` takes.
   *
   * @param gate - whether a lane's next request could run now
   * @returns false when nothing that waits can run
   */
  select(gate: LaneGate): boolean {
    const lane = this.findLane(gate);
    this.selected = lane && { lane };
    return lane !== undefined;
  }

  /**
   * Takes out the request that has to give way to a newcomer: the newest of the workspace with
   * most waiting, in the least urgent tier below the newcomer's; failing that in its own tier, if
   * that workspace has more waiting by weight than the newcomer's.
   *
   * @returns its id, or undefined when the newcomer itself has to give way
   */
  evictFor({ serviceClass, workspace, weight }: QueuePlace): string | undefined {
    const { tier } = serviceClass;
    const lowest = this.tiers.findLast((each) => each?.heaviest !== undefined);
    if (lowest === undefined || lowest.tier < tier) {
      return undefined;
    }
    const { heaviest } = lowest;
    if (lowest.tier === tier) {
      const own = (lowest.getFresh(workspace) + 1) / weight;
      if (heaviest!.getBacklog() <= own) {
        return undefined;
      }
    }
    const { id } = heaviest!.getNewestFresh()!.place;
    this.remove(id);
    return id;
  }

  /**
   * How many requests of its class would probably go before a newcomer: all that wait, or fewer
   * when other workspaces hold most of the queue.
   */
  getAhead({ serviceClass, workspace, weight }: QueuePlace): number {
    const tier = this.getTier(serviceClass.tier);
    const waiting = this.credits.getWaiting(serviceClass.name);
    const own = tier.getFresh(workspace) + 1;
    return Math.min(waiting, (own * (tier.activeWeight + weight)) / weight);
  }

  /** Whether any request of the same class waits for the same pool. */
  hasLane(place: QueuePlace): boolean {
    return this.getTier(place.serviceClass.tier).hasLane(place);
  }

  /** How many requests of a class wait. */
  getWaiting(className: string): number {
    return this.credits.getWaiting(className);
  }

  /** The tier that a class goes before when its floor is due. */
  getOvertaken(className: string): number | undefined {
    return this.credits.getOvertaken(className);
  }

  /** Credits by class that waits. */
  getCredits(): Record<string, number> {
    return this.credits.getCredits();
  }

  private findLane(gate: LaneGate): Lane | undefined {
    return this.findCredited(gate) ?? this.findByTier(gate);
  }

  private findCredited(gate: LaneGate): Lane | undefined {
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

  private findByTier(gate: LaneGate): Lane | undefined {
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
