/**
 * What a daemon's claims cost, counted since its start.
 *
 * @public
 */
export interface ClaimCounters {
  /** Head commits confirmed by the store. */
  commits: number;
  /** Grants that those commits made durable; divided by `commits`: claims per commit. */
  committedClaims: number;
  storeReads: number;
  storeLists: number;
  /** Conditional writes sent, of heads and segments. */
  storeWrites: number;
  storeDeletes: number;
  /** Characters written. */
  storeWrittenSize: number;
  /** Store calls that gave no answer. */
  storeFailures: number;
  /** Calls to other daemons, those to witnesses among them. */
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
