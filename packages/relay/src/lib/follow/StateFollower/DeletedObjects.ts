import type { Milliseconds } from '@apricotrill/utils';

/**
 * Remembers which objects were deleted, and suppresses those that reappear because the store came back
 * from an older copy.
 */
export class DeletedObjects<Item> {
  /** When objects were deleted, by name. */
  private readonly deletedAt = new Map<string, Milliseconds>();

  private readonly suppressed = new Map<string, Item>();

  /** @param retention - how long a deletion is remembered */
  constructor(private readonly retention: Milliseconds) {}

  isSuppressed(name: string): boolean {
    return this.suppressed.has(name);
  }

  /** Records that an object has been deleted. */
  recordDeletion(name: string, now: Milliseconds): void {
    this.deletedAt.set(name, now);
    this.deletedAt.forEach((at, other) => {
      if (at < now - this.retention) {
        this.deletedAt.delete(other);
      }
    });
  }

  /** Ends the suppression of an object that the store has changed since its restore. */
  recordChange(name: string, isDeleted: boolean): void {
    this.suppressed.delete(name);
    if (!isDeleted) {
      this.deletedAt.delete(name);
    }
  }

  /** Suppresses the objects of a restored store that were deleted before. */
  suppress(restored: ReadonlyMap<string, Item>, now: Milliseconds): void {
    this.suppressed.clear();
    restored.forEach((item, name) => {
      const deletedAt = this.deletedAt.get(name);
      if (deletedAt !== undefined && deletedAt >= now - this.retention) {
        this.suppressed.set(name, item);
      }
    });
  }

  /** Forgets the suppressed objects that the store no longer has. */
  retain(listed: ReadonlyMap<string, Item>): void {
    this.suppressed.forEach((_item, name) => {
      if (!listed.has(name)) {
        this.suppressed.delete(name);
      }
    });
  }

  /** Ends the suppression. @returns the objects that still exist */
  release(): [string, Item][] {
    const released = [...this.suppressed];
    this.suppressed.clear();
    released.forEach(([name]) => this.deletedAt.delete(name));
    return released;
  }
}
