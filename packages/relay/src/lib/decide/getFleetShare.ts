/** Options for dividing a limit that all daemons share. */
export const fleetShareOptions = {
  /**
   * Number of daemons that is assumed while the number is unknown: a daemon that starts while the
   * store is unavailable does not know its peers. Smaller deployments have fewer. In a larger one
   * whose daemons all start without the store, limits may be exceeded until the store is available
   * again.
   */
  assumedDaemons: 12,
  /**
   * The part of a limit that is distributed. The rest is reserved for daemons that have started and
   * are not known to the others yet: the fleet can grow by 40% before the limit is exceeded.
   */
  usablePart: 0.7,
};

/**
 * Gets this daemon's share of a limit for all daemons together.
 *
 * A fixed share does not work: sized for eighty daemons, it leaves a fleet of seven a tenth of the
 * retries that it may send. Sized for twelve, eighty daemons open seven times the connections that
 * a replica accepts, and the replica resets the excess.
 *
 * @param total - the limit for all daemons
 * @param daemons - the number of daemons, including this one; undefined while unknown
 * @param min - the minimum that a daemon needs
 * @example
 * ```ts
 * getFleetShare(300, 7, 2); // 30
 * ```
 */
export function getFleetShare(total: number, daemons: number | undefined, min: number): number {
  const { assumedDaemons, usablePart } = fleetShareOptions;
  const part = daemons === 1 ? 1 : usablePart;
  return Math.max(min, Math.floor((total * part) / (daemons ?? assumedDaemons)));
}
