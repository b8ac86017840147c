/**
 * Takes the members of a list in turn, a few at a time.
 *
 * @example
 * ```ts
 * const rotation = new Rotation(getHash(self.id));
 * rotation.take(ids, 20); // the next twenty
 * ```
 */
export class Rotation {
  /** @param place - where to begin: daemons that begin at one place would all tell the same few */
  constructor(private place: number) {}

  /** @returns the next ones; all of a list that isn't longer */
  take<Member>(members: readonly Member[], most: number): readonly Member[] {
    if (members.length <= most) {
      return members;
    }
    const first = this.place % members.length;
    this.place = first + most;
    return [...members.slice(first), ...members.slice(0, first)].slice(0, most);
  }
}
