import { getRendezvousScore } from '@apricotrill/utils';

/**
 * Returns how many members rendezvous hashing prefers over this daemon for a lease. Counting stops
 * at the limit: with 1,800 members and a hundred leases, a full sort every few seconds would use
 * much of the processor time that is available for control work.
 *
 * @param name - the name of the lease
 * @param self - the id of this daemon
 * @param members - the live daemons, with or without this one
 * @param limit - higher ranks are not distinguished
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
