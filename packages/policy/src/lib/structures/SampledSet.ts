import type { Random } from '@apricotrill/utils';

/**
 * A set from which a random member can be drawn in constant time.
 *
 * @example
 * ```ts
 * const candidate = replicas.drawRandom(random);
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

  /** Adds a member to the set or removes it. */
  set(member: Member, isMember: boolean): void {
    const position = this.positions.get(member);
    if (isMember && position === undefined) {
      this.positions.set(member, this.members.length);
      this.members.push(member);
    } else if (!isMember && position !== undefined) {
      this.removeAt(position, member);
    }
  }

  /** Draws a random member; undefined if the set is empty. */
  drawRandom(random: Random): Member | undefined {
    return this.members[random.integer(this.members.length)];
  }

  /**
   * Finds the first suitable member, starting at a random position.
   *
   * @param limit - maximum number of members to examine; all by default
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
