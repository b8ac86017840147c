import type { HeldKind } from '../HeldKind.js';

/** The bytes that are held for one request. Counts nothing once it is released. */
export class Holding {
  private readonly kinds = new Map<HeldKind, number>();

  private isReleased = false;

  /** @param add - counts a difference for all owners */
  constructor(private readonly add: (kind: HeldKind, difference: number) => void) {}

  get(kind: HeldKind): number {
    return this.kinds.get(kind) ?? 0;
  }

  /** Sets how many bytes of a kind are held. */
  set(kind: HeldKind, bytes: number): void {
    const difference = bytes - this.get(kind);
    if (!this.isReleased && difference !== 0) {
      this.kinds.set(kind, bytes);
      this.add(kind, difference);
    }
  }

  /** Nothing is held any more. */
  release(): void {
    [...this.kinds.keys()].forEach((kind) => this.set(kind, 0));
    this.isReleased = true;
  }
}
