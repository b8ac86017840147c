/**
 * Cycles through the members of a list, a few at a time.
 *
 * @example
 * ```ts
 * const rotation = new Rotation(getHash(self.id));
 * rotation.take(ids, 20); // the next 20
 * ```
 */
export class Rotation {
  /**
   * @param start - position of the first member; it should differ between daemons, since they would
   *   otherwise all send to the same few members first
   */
  constructor(private start: number) {}

  /** @returns the next `maxCount` members; all members if there are no more than that */
  take<Member>(members: readonly Member[], maxCount: number): readonly Member[] {
    if (members.length <= maxCount) {
      return members;
    }
    const first = this.start % members.length;
    this.start = first + maxCount;
    return [...members.slice(first), ...members.slice(0, first)].slice(0, maxCount);
  }
}
