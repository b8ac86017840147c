import type { Milliseconds } from '@apricotrill/utils';

/**
 * What can be tuned about membership and the spread of configuration.
 *
 * @public
 */
export interface ClusterOptions {
  /** Time between two probes by one daemon; each probes its neighbours in turn. */
  probeInterval: Milliseconds;
  /** How long a probed peer may take to answer. */
  probeTimeout: Milliseconds;
  /** How long other peers may take to reach it on our behalf. */
  indirectTimeout: Milliseconds;
  /** How many other peers are asked to reach it. */
  indirectProbes: number;
  /** How many neighbours a daemon probes, and how many probe it. */
  probeRings: number;
  /** Time between two probes into another region. */
  crossRegionInterval: Milliseconds;
  /** In a region of fewer daemons, those of other regions count as well for the own network. */
  smallRegion: number;
  /** A region of which nothing was heard for so long counts as unreachable. */
  regionSilence: Milliseconds;
  /** How long a suspected peer has to refute before it is taken for dead. */
  suspicionSpan: Milliseconds;
  /** How far back own failures and successes count when a daemon judges its own network. */
  experienceWindow: Milliseconds;
  /** How long a dead peer is remembered, so that late messages cannot bring it back. */
  tombstoneSpan: Milliseconds;
  /** Each return from the dead adds 1 to a peer's penalty, each refuted suspicion 0.5; halved in this time. */
  flapHalfLife: Milliseconds;
  /** A peer whose penalty rises above this gets no duties... */
  flapSuppress: number;
  /** ...until the penalty has fallen below this. */
  flapReuse: number;
  /** Time between two gossip messages while there is something to tell. */
  gossipInterval: Milliseconds;
  /** How many peers one round of gossip goes to. */
  gossipFanout: number;
  /** A rumour is sent this many times the number of digits of the member count. */
  rumourRepeats: number;
  /** How many bytes of rumours one message carries at most. */
  rumourBytes: number;
  /** How many bytes of gossip a daemon starts a second, averaged; bounds bursts. */
  gossipBytesPerSecond: number;
  /** Time between two comparisons of the whole view with a random peer. */
  syncInterval: Milliseconds;
  /** How many bytes of records one answer to a comparison carries. */
  syncPageBytes: number;
  /** How long a comparison, a fetch or a load message may take. */
  callTimeout: Milliseconds;
  /** How long a daemon that starts looks for its peers before it takes duties. */
  joinGrace: Milliseconds;
  /** How many peers are told at once of a new generation. */
  newsFanout: number;
  /** How many daemons of an availability zone hold a watch at the store. */
  watchersPerZone: number;
  /** How often a watcher reads the manifest beside its watch, which may be silent. */
  pollInterval: Milliseconds;
  /** A watch that brought nothing for so long is replaced. */
  watchRenewal: Milliseconds;
  /** First and longest delay before a failed store call is made again. */
  storeBackoff: Milliseconds;
  storeBackoffLimit: Milliseconds;
  /** How many bytes of parts, uncompressed, one answer carries. */
  partPageBytes: number;
  /** How long a word that a backend server is leaving holds. */
  replicaNoticeSpan: Milliseconds;
  /** Least time between two reads of the platform's list by its reader. */
  listInterval: Milliseconds;
  /** A longer list is read less often, so that its reader stays under this. */
  listBytesPerSecond: number;
  /** Least time between two load messages of one daemon; grows with its zone. */
  loadInterval: Milliseconds;
}

/**
 * The documented defaults: a crash is suspected within about 2 s and declared within 7 s; a silent
 * watch delays a change by at most 4 s.
 *
 * @public
 */
export const defaultClusterOptions: ClusterOptions = {
  probeInterval: 1000,
  probeTimeout: 500,
  indirectTimeout: 800,
  indirectProbes: 3,
  probeRings: 4,
  crossRegionInterval: 4000,
  smallRegion: 4,
  regionSilence: 15_000,
  suspicionSpan: 5000,
  experienceWindow: 20_000,
  tombstoneSpan: 3_600_000,
  flapHalfLife: 30_000,
  flapSuppress: 2.5,
  flapReuse: 1,
  gossipInterval: 200,
  gossipFanout: 2,
  rumourRepeats: 3,
  rumourBytes: 1100,
  gossipBytesPerSecond: 5000,
  syncInterval: 10_000,
  syncPageBytes: 16_384,
  callTimeout: 2000,
  joinGrace: 2000,
  newsFanout: 4,
  watchersPerZone: 2,
  pollInterval: 4000,
  watchRenewal: 30_000,
  storeBackoff: 250,
  storeBackoffLimit: 4000,
  partPageBytes: 131_072,
  replicaNoticeSpan: 60_000,
  listInterval: 5000,
  listBytesPerSecond: 4000,
  loadInterval: 2000,
};
