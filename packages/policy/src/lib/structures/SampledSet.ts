import type { Random } from '@apricotrill/utils';

/**
 * A set from which a random member is drawn in constant time.
 *
 * @example
 * ```ts
 * const candidate = open.draw(random);
 * ```
 * @internal
 */
export class SampledSet<Member> {
  private readonly members: Member[] = [];

  private readonly positions = new Map<Member, number>();

  get size(): number {
    return this.members.length;
  }

  has(member: Member): boolean {
    return this.positions.has(member);
  }

  /** Puts a member in or takes it out. */
  set(member: Member, isIn: boolean): void {
    const position = this.positions.get(member);
    if (isIn && position === undefined) {
      this.positions.set(member, this.members.length);
      this.members.push(member);
    } else if (!isIn && position !== undefined) {
      this.removeAt(position, member);
    }
  }

  /** A random member; undefined when there is none. */
  draw(random: Random): Member | undefined {
    return this.members[random.integer(this.members.length)];
  }

  /**
   * The first member that fits, looking from a random place on.
   *
   * @param limit - how many members are looked at; all by default
   */
  find(
    random: Random,
    fits: (member: Member) => boolean,
    limit = Number.POSITIVE_INFINITY,
  ): Member | undefined {
    const { length } = this.members;
    const start = random.integer(Math.max(1, length));
    const last = Math.min(length, limit);
    for (let step = 0; step < last; step += 1) {
      const member = this.members[(start + step) % length]!;
      if (fits(member)) {
        return member;
      }
    }
    return undefined;
  }

  /** All members, in no particular order. */
  getAll(): readonly Member[] {
    return this.members;
  }

  private removeAt(position: number, member: Member): void {
    const last = this.members.pop()!;
    this.positions.delete(member);
    if (last !== member) {
      this.members[position] = last;
      this.positions.set(last, position);
    }
  }
}
