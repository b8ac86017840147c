import { getRendezvousScore } from '@apricotrill/utils';

/**
 * How many members rendezvous hashing prefers over this daemon for a lease. Counting stops at the
 * limit: with 1,800 members and a hundred leases a full sort each few seconds would cost a good
 * part of the processor time that control may spend.
 *
 * @param name - the lease
 * @param self - this daemon
 * @param members - the live daemons, with or without this one
 * @param limit - ranks from here on are all the same
 * @example
 * ```ts
 * const isPreferred = getLeaseRank('placement-chat', 'daemon-1', members, 3) === 0;
 * ```
 * @internal
 */
export function getLeaseRank(
  name: string,
  self: string,
  members: readonly string[],
  limit: number,
): number {
  const own = getRendezvousScore(name, self);
  let rank = 0;
  for (let index = 0; index < members.length && rank < limit; index += 1) {
    const member = members[index]!;
    const score = getRendezvousScore(name, member);
    if (score > own || (score === own && member < self)) {
      rank += 1;
    }
  }
  return rank;
}
