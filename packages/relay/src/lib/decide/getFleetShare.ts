/** How a bound that all daemons share is divided among them. */
export const shareOptions = {
  /**
   * Daemons that are assumed while their number is not known: a daemon that starts while the store
   * is away has heard of none. More than in the smaller deployments; in a larger one whose daemons
   * all start without the store, bounds may be passed until it is back.
   */
  unknownFleet: 12,
  /**
   * The part of a bound that is given out. The rest is for daemons that have started and that the
   * others have not heard of yet: four in ten more may come before the bound is passed.
   */
  givenPart: 0.7,
};

/**
 * This daemon's share of a bound for all daemons together.
 *
 * What goes wrong without it: a share for a fleet of eighty leaves seven daemons a tenth of the
 * repeats that they may send, and one for a fleet of twelve opens seven times the connections that a
 * replica takes where there are eighty; it resets what is too many.
 *
 * @param bound - for all daemons
 * @param daemons - how many there are, this one included; undefined while that isn't known
 * @param least - a daemon can't do with less
 * @example
 * ```ts
 * getFleetShare(300, 7, 2); // 30
 * ```
 */
export function getFleetShare(bound: number, daemons: number | undefined, least: number): number {
  const { unknownFleet, givenPart } = shareOptions;
  const part = daemons === 1 ? 1 : givenPart;
  return Math.max(least, Math.floor((bound * part) / (daemons ?? unknownFleet)));
}
