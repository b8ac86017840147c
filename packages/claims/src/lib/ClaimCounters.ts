/**
 * What the claims of a daemon have cost since it started.
 *
 * @public
 */
export interface ClaimCounters {
  /** Head commits confirmed by the store. */
  commits: number;
  /** Grants made durable by those commits. Divided by `commits`: claims per commit. */
  committedClaims: number;
  storeReads: number;
  storeLists: number;
  /** Conditional writes of heads and segments sent to the store. */
  storeWrites: number;
  storeDeletes: number;
  /** Characters written to the store. */
  storeWrittenSize: number;
  /** Store calls that failed or timed out. */
  storeFailures: number;
  /** Calls to other daemons, including those to witnesses. */
  peerCalls: number;
  witnessCalls: number;
}

/** Creates counters at zero. */
export function createClaimCounters(): ClaimCounters {
  return {
    commits: 0,
    committedClaims: 0,
    storeReads: 0,
    storeLists: 0,
    storeWrites: 0,
    storeDeletes: 0,
    storeWrittenSize: 0,
    storeFailures: 0,
    peerCalls: 0,
    witnessCalls: 0,
  };
}
