import { HEAP_KINDS, HeldKind, PROCESS_KINDS } from '../HeldKind.js';
import { Holding } from './Holding.js';

/**
 * Counts the bytes that a daemon holds for others, by kind.
 *
 * @example
 * ```ts
 * const held = new HeldBytes();
 * const holding = held.open();
 * holding.set(HeldKind.RequestBody, 1_000);
 * holding.release();
 * held.total; // 0
 * ```
 */
export class HeldBytes {
  private readonly kinds = new Map<HeldKind, number>(
    Object.values(HeldKind).map((kind) => [kind, 0]),
  );

  private sum = 0;

  private heapSum = 0;

  private readonly listeners: (() => void)[] = [];

  /** Starts counting for a new owner. */
  open(): Holding {
    return new Holding((kind, difference) => this.add(kind, difference));
  }

  /** Bytes held for all owners that count toward the memory of the process. */
  get total(): number {
    return this.sum;
  }

  /** Bytes held for all owners on the heap of the engine. */
  get heapTotal(): number {
    return this.heapSum;
  }

  /** Bytes by kind. */
  getCounts(): Iterable<readonly [HeldKind, number]> {
    return this.kinds;
  }

  /** Calls back whenever less is held than before. */
  onDecreased(listener: () => void): void {
    this.listeners.push(listener);
  }

  private add(kind: HeldKind, difference: number): void {
    this.kinds.set(kind, this.kinds.get(kind)! + difference);
    this.sum += PROCESS_KINDS.has(kind) ? difference : 0;
    this.heapSum += HEAP_KINDS.has(kind) ? difference : 0;
    if (difference < 0) {
      this.listeners.forEach((listener) => listener());
    }
  }
}
