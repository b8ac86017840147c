import type { QueuePlace } from './QueuePlace.js';

/** Rounding tolerance: sums of fractions can fall slightly short of one. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * The bounds of the floors.
 *
 * @internal
 */
export interface FloorOptions {
  /** Minimum share of every class, so that a class without a floor does not starve. */
  minFloor: number;
  /**
   * Maximum share that all floors together may take from more urgent tiers. Floors that exceed it
   * in sum are scaled down.
   */
  maxFloorSum: number;
}

interface WaitingClass {
  name: string;
  tier: number;
  floor: number;
  waiting: number;
  credit: number;
  /** The most urgent tier whose dispatches contributed to the credit. */
  overtakenTier: number;
}

/**
 * Enforces the floors of the classes with a deficit counter for each class that has requests
 * waiting. A dispatch of another class adds the floor to the credit of a class, a dispatch of its
 * own subtracts one. Classes with a credit of one go first, in the order in which they reached it.
 * Credit never exceeds one, so that a class cannot accumulate a burst.
 *
 * The most urgent waiting tier earns no credit, since it goes first anyway.
 *
 * @internal
 */
export class FloorCredits {
  private readonly options: FloorOptions;

  private readonly classes = new Map<string, WaitingClass>();

  /** Classes with a full credit, in the order in which they reached it. */
  private readonly credited = new Set<string>();

  constructor(options: FloorOptions) {
    this.options = options;
  }

  /** Records that another request of the class is waiting. */
  add({ serviceClass: { name, tier, floor } }: QueuePlace): void {
    const effectiveFloor = Math.max(floor, this.options.minFloor);
    const known = this.classes.get(name);
    const waiting = (known?.waiting ?? 0) + 1;
    const { credit, overtakenTier } = known ?? { credit: 0, overtakenTier: tier };
    this.classes.set(name, {
      name,
      tier,
      floor: effectiveFloor,
      waiting,
      credit,
      overtakenTier,
    });
  }

  /** Records that a request of the class is no longer waiting. */
  remove(name: string): void {
    const known = this.classes.get(name)!;
    known.waiting -= 1;
    if (known.waiting === 0) {
      this.classes.delete(name);
      this.credited.delete(name);
    }
  }

  /** Records a dispatch. To be called while the dispatched request still counts as waiting. */
  recordDispatch(served: string): void {
    const mostUrgentTier = this.getMostUrgentTier();
    const earningClasses = [...this.classes.values()].filter(({ tier }) => tier > mostUrgentTier);
    const sum = earningClasses.reduce((total, { floor }) => total + floor, 0);
    const scale = Math.min(1, this.options.maxFloorSum / sum);
    earningClasses.forEach((each) => {
      const overtakenTier = Math.min(each.overtakenTier, mostUrgentTier);
      Object.assign(each, { overtakenTier });
      this.changeCredit(each, each.floor * scale);
    });
    const servedClass = this.classes.get(served)!;
    servedClass.overtakenTier = servedClass.tier;
    this.changeCredit(servedClass, -1);
  }

  /** The classes that go before all others, in order. */
  getCredited(): Iterable<string> {
    return this.credited;
  }

  /** The tier that a class overtakes when its floor is due. */
  getOvertakenTier(name: string): number | undefined {
    return this.classes.get(name)?.overtakenTier;
  }

  getWaiting(name: string): number {
    return this.classes.get(name)?.waiting ?? 0;
  }

  /** The credits by class, for the snapshot. */
  getCredits(): Record<string, number> {
    return Object.fromEntries([...this.classes.values()].map((each) => [each.name, each.credit]));
  }

  private getMostUrgentTier(): number {
    return [...this.classes.values()].reduce(
      (minTier, { tier }) => Math.min(minTier, tier),
      Infinity,
    );
  }

  private changeCredit(waiting: WaitingClass, change: number): void {
    const credit = Math.min(1, Math.max(0, waiting.credit + change));
    Object.assign(waiting, { credit });
    if (credit >= 1 - ROUNDING_TOLERANCE) {
      this.credited.add(waiting.name);
    } else {
      this.credited.delete(waiting.name);
    }
  }
}
