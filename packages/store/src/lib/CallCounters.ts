/**
 * Calls made to the platform, as counted by its rate limits; a waiting watch is one call.
 *
 * @public
 */
export interface CallCounters {
  /** Reads of objects and of the list of instances. */
  reads: number;
  writes: number;
  /** Watches started. */
  watches: number;
  /** Currently open watches. */
  waitingWatches: number;
}

/**
 * Creates counters that are all zero.
 *
 * @internal
 */
export function createCallCounters(): CallCounters {
  return { reads: 0, writes: 0, watches: 0, waitingWatches: 0 };
}
