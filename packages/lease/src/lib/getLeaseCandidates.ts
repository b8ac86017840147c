import { getRendezvousOrder } from '@apricotrill/utils';

/** A daemon and where it runs. */
interface Member {
  id: string;
  availabilityZone: string;
}

/**
 * The daemons that stand by for a lease, the preferred one first: one of each availability zone, then
 * the second of each, so that the loss of a zone leaves others.
 *
 * @param name - the lease
 * @param members - the live daemons
 * @param count - how many stand by
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
  const taken = new Map<string, number>();
  const places = order.map((id) => {
    const zone = zones.get(id)!;
    const place = taken.get(zone) ?? 0;
    taken.set(zone, place + 1);
    return { id, place };
  });
  return places
    .sort((left, right) => left.place - right.place)
    .slice(0, count)
    .map(({ id }) => id);
}
