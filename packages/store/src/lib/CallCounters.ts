/**
 * Calls made at the platform, as its rates count them; a waiting watch is one call.
 *
 * @public
 */
export interface CallCounters {
  /** Reads of objects and of the list of instances. */
  reads: number;
  writes: number;
  /** Watches begun. */
  watches: number;
  /** Watches open at the moment. */
  waitingWatches: number;
}

/**
 * Counters at zero.
 *
 * @internal
 */
export function createCallCounters(): CallCounters {
  return { reads: 0, writes: 0, watches: 0, waitingWatches: 0 };
}
