/**
 * Counters of this daemon's cluster activity since it started.
 *
 * @public
 */
export interface ClusterCounters {
  probes: number;
  probeFailures: number;
  suspicions: number;
  refutations: number;
  gossips: number;
  rumoursSent: number;
  rumoursHeard: number;
  syncs: number;
  requests: number;
  fetches: number;
  partsFromPeers: number;
  partsFromStore: number;
  /** Calls to the platform: reads of the manifest, of parts and of the instance list; watches. */
  manifestReads: number;
  partReads: number;
  listReads: number;
  watches: number;
}

export function createClusterCounters(): ClusterCounters {
  return {
    probes: 0,
    probeFailures: 0,
    suspicions: 0,
    refutations: 0,
    gossips: 0,
    rumoursSent: 0,
    rumoursHeard: 0,
    syncs: 0,
    requests: 0,
    fetches: 0,
    partsFromPeers: 0,
    partsFromStore: 0,
    manifestReads: 0,
    partReads: 0,
    listReads: 0,
    watches: 0,
  };
}
