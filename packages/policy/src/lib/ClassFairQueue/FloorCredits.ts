import type { QueuePlace } from './QueuePlace.js';

/** Sums of fractions miss one by a little; a credit this close counts as whole. */
const ROUNDING = 1e-9;

/**
 * How floors are kept.
 *
 * @internal
 */
export interface FloorOptions {
  /** The share every class has at least, so that a class without a floor does not starve. */
  minFloor: number;
  /** What all floors together may take from more urgent tiers; beyond it they are scaled down. */
  maxFloorSum: number;
}

interface WaitingClass {
  name: string;
  tier: number;
  floor: number;
  waiting: number;
  credit: number;
  /** The most urgent tier whose dispatches earned the credit. */
  overtakes: number;
}

/**
 * A deficit counter for each class that waits: a dispatch of another class earns it its floor, a
 * dispatch of its own costs one, and from a credit of one on it goes first, in the order in which
 * the classes got there. Credit never exceeds one, so that a class can't save up a burst.
 *
 * The most urgent tier that waits earns nothing: it goes first anyway.
 *
 * @internal
 */
export class FloorCredits {
  private readonly options: FloorOptions;

  private readonly classes = new Map<string, WaitingClass>();

  /** Classes with a whole credit, the one that has had it longest first. */
  private readonly credited = new Set<string>();

  constructor(options: FloorOptions) {
    this.options = options;
  }

  /** Notes that a request of the class waits. */
  add({ serviceClass: { name, tier, floor } }: QueuePlace): void {
    const effective = Math.max(floor, this.options.minFloor);
    const known = this.classes.get(name);
    const waiting = (known?.waiting ?? 0) + 1;
    const { credit, overtakes } = known ?? { credit: 0, overtakes: tier };
    this.classes.set(name, { name, tier, floor: effective, waiting, credit, overtakes });
  }

  /** Notes that one request of the class no longer waits. */
  remove(name: string): void {
    const known = this.classes.get(name)!;
    known.waiting -= 1;
    if (known.waiting === 0) {
      this.classes.delete(name);
      this.credited.delete(name);
    }
  }

  /** Counts a dispatch; call it while the request that is served still counts as waiting. */
  serve(served: string): void {
    const urgent = this.getMostUrgent();
    const earning = [...this.classes.values()].filter(({ tier }) => tier > urgent);
    const sum = earning.reduce((total, { floor }) => total + floor, 0);
    const scale = Math.min(1, this.options.maxFloorSum / sum);
    earning.forEach((each) => {
      const overtakes = Math.min(each.overtakes, urgent);
      Object.assign(each, { overtakes });
      this.changeCredit(each, each.floor * scale);
    });
    const own = this.classes.get(served)!;
    own.overtakes = own.tier;
    this.changeCredit(own, -1);
  }

  /** The classes that go before all others, in order. */
  getCredited(): Iterable<string> {
    return this.credited;
  }

  /** The tier that a class goes before when its floor is due. */
  getOvertaken(name: string): number | undefined {
    return this.classes.get(name)?.overtakes;
  }

  getWaiting(name: string): number {
    return this.classes.get(name)?.waiting ?? 0;
  }

  /** Credits by class, for the snapshot. */
  getCredits(): Record<string, number> {
    return Object.fromEntries([...this.classes.values()].map((each) => [each.name, each.credit]));
  }

  private getMostUrgent(): number {
    return [...this.classes.values()].reduce((least, { tier }) => Math.min(least, tier), Infinity);
  }

  private changeCredit(waiting: WaitingClass, change: number): void {
    const credit = Math.min(1, Math.max(0, waiting.credit + change));
    Object.assign(waiting, { credit });
    if (credit >= 1 - ROUNDING) {
      this.credited.add(waiting.name);
    } else {
      this.credited.delete(waiting.name);
    }
  }
}
