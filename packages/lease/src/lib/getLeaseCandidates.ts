import { getRendezvousOrder } from '@apricotrill/utils';

/** A daemon and its availability zone. */
interface Member {
  id: string;
  availabilityZone: string;
}

/**
 * Returns the candidates for a lease, the preferred one first. Takes one daemon from each
 * availability zone, then a second from each and so on, so that candidates remain when a zone is
 * lost.
 *
 * @param name - the name of the lease
 * @param members - the live daemons
 * @param count - the maximum number of candidates
 * @example
 * ```ts
 * const rank = getLeaseCandidates('duties', members, 3).indexOf('daemon-1');
 * ```
 * @public
 */
export function getLeaseCandidates(
  name: string,
  members: readonly Member[],
  count: number,
): string[] {
  const zones = new Map(members.map(({ id, availabilityZone }) => [id, availabilityZone]));
  const order = getRendezvousOrder(name, [...zones.keys()]);
  const zoneCounts = new Map<string, number>();
  const rankedMembers = order.map((id) => {
    const zone = zones.get(id)!;
    const zoneRank = zoneCounts.get(zone) ?? 0;
    zoneCounts.set(zone, zoneRank + 1);
    return { id, zoneRank };
  });
  return rankedMembers
    .sort((left, right) => left.zoneRank - right.zoneRank)
    .slice(0, count)
    .map(({ id }) => id);
}
