import type { Milliseconds } from '@apricotrill/utils';

/**
 * Tuning of membership and of the distribution of configuration.
 *
 * @public
 */
export interface ClusterOptions {
  /** Time between two probes of a daemon, which probes its neighbours in turn. */
  probeInterval: Milliseconds;
  /** Timeout of a direct probe. */
  probeTimeout: Milliseconds;
  /** Timeout of an indirect probe at the peer that sends it on our behalf. */
  indirectProbeTimeout: Milliseconds;
  /** How many peers are asked for an indirect probe. */
  indirectProbeCount: number;
  /** How many neighbours a daemon probes, and how many probe it: one in each ring. */
  probeRings: number;
  /** Time between two probes of another region. */
  crossRegionProbeInterval: Milliseconds;
  /** In a region with fewer daemons, probes of other regions also count towards local health. */
  smallRegionSize: number;
  /** A region from which nothing was received for this long counts as unreachable. */
  regionTimeout: Milliseconds;
  /** How long a suspected peer has to refute before it is declared dead. */
  suspicionTimeout: Milliseconds;
  /** How long the results of contacting peers count when a daemon assesses its own network. */
  localHealthWindow: Milliseconds;
  /** How long a dead peer is remembered, so that late messages cannot resurrect it. */
  tombstoneRetention: Milliseconds;
  /**
   * Half-life of a peer's flap penalty. Each return from the dead adds 1 to it, each refuted
   * suspicion 0.5.
   */
  flapHalfLife: Milliseconds;
  /** A peer whose penalty exceeds this is suppressed: it is given no duties. */
  flapSuppressThreshold: number;
  /** A suppressed peer is given duties again once its penalty has decayed below this. */
  flapReuseThreshold: number;
  /** Time between two gossip rounds while rumours are queued. */
  gossipInterval: Milliseconds;
  /** How many peers a gossip round is sent to. */
  gossipFanout: number;
  /** A rumour is sent this many times the number of decimal digits of the member count. */
  rumourRetransmitMultiplier: number;
  /** Maximum bytes of rumours in one message. */
  maxRumourBytes: number;
  /** Average bytes of rumours per second that a daemon may send; bounds bursts. */
  gossipBytesPerSecond: number;
  /** Time between two anti-entropy syncs with a random peer. */
  syncInterval: Milliseconds;
  /** Maximum bytes of records in one sync response; the last bucket may exceed it. */
  maxSyncPageBytes: number;
  /** Timeout of a sync, a gossip message, a fetch or a load message. */
  callTimeout: Milliseconds;
  /** How long a starting daemon looks for peers before it takes on duties alone. */
  joinGracePeriod: Milliseconds;
  /** How many peers are notified immediately of a newly active generation. */
  generationFanout: number;
  /** How many daemons of an availability zone watch the store. */
  watchersPerZone: number;
  /** How often a watcher also polls the manifest, since its watch may have gone silent. */
  pollInterval: Milliseconds;
  /** A watch that returned nothing for this long is replaced. */
  watchRenewalInterval: Milliseconds;
  /** Minimum delay before a failed watch is restarted; doubles with each failure. */
  minStoreBackoff: Milliseconds;
  /** Maximum delay before a failed watch is restarted. */
  maxStoreBackoff: Milliseconds;
  /** Maximum bytes of parts, uncompressed, in one response; the first part may exceed it. */
  maxPartPageBytes: number;
  /** How long a notice that a backend server is leaving stays valid. */
  replicaNoticeLifetime: Milliseconds;
  /** Minimum time between two reads of the platform's instance list by its reader. */
  minListInterval: Milliseconds;
  /** A longer list is read less often, so that its reader stays below this rate. */
  maxListBytesPerSecond: number;
  /** Minimum time between two load messages of a daemon; longer in a large zone. */
  minLoadInterval: Milliseconds;
}

/**
 * The documented defaults: a crashed daemon is suspected within about 2 s and declared dead within
 * 7 s; a silent watch delays a change by at most 4 s.
 *
 * @public
 */
export const defaultClusterOptions: ClusterOptions = {
  probeInterval: 1000,
  probeTimeout: 500,
  indirectProbeTimeout: 800,
  indirectProbeCount: 3,
  probeRings: 4,
  crossRegionProbeInterval: 4000,
  smallRegionSize: 4,
  regionTimeout: 15_000,
  suspicionTimeout: 5000,
  localHealthWindow: 20_000,
  tombstoneRetention: 3_600_000,
  flapHalfLife: 30_000,
  flapSuppressThreshold: 2.5,
  flapReuseThreshold: 1,
  gossipInterval: 200,
  gossipFanout: 2,
  rumourRetransmitMultiplier: 3,
  maxRumourBytes: 1100,
  gossipBytesPerSecond: 5000,
  syncInterval: 10_000,
  maxSyncPageBytes: 16_384,
  callTimeout: 2000,
  joinGracePeriod: 2000,
  generationFanout: 4,
  watchersPerZone: 2,
  pollInterval: 4000,
  watchRenewalInterval: 30_000,
  minStoreBackoff: 250,
  maxStoreBackoff: 4000,
  maxPartPageBytes: 131_072,
  replicaNoticeLifetime: 60_000,
  minListInterval: 5000,
  maxListBytesPerSecond: 4000,
  minLoadInterval: 2000,
};
