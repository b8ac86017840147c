import type { Milliseconds } from '@apricotrill/utils';

/** Options for finding out whether this daemon reaches a replica. */
export const pathOptions = {
  /** Opening a connection takes a few milliseconds within a region. */
  probeTimeout: 250 satisfies Milliseconds,
  /** A health check that takes longer proves nothing; the replica may be busy. */
  responseTimeout: 250 satisfies Milliseconds,
  /** Allows a peer that is asked the time of its own check. */
  askTimeout: 650 satisfies Milliseconds,
  /** Peers that are asked, since some of them may be behind the same partition. */
  askedPeers: 3,
  /** Lost paths without an opened connection in between after which a daemon counts as isolated. */
  isolationEvidence: 2,
  /** Other replicas that are probed before a daemon counts as isolated. */
  isolationProbes: 3,
  /** How often lost paths are probed, and the number of replicas that are probed each time. */
  recoveryInterval: 500 satisfies Milliseconds,
  recoveryProbes: 3,
  /** Successful probes in a row after which a path is restored. */
  requiredSuccesses: 2,
  /** A path that is lost again within this time must pass twice as many probes, up to a limit. */
  relapsePeriod: 10_000 satisfies Milliseconds,
  maxRequiredSuccesses: 8,
  /** How often attempts in flight are checked for silence. */
  silenceCheckInterval: 200 satisfies Milliseconds,
  /** Least time between two reports that a replica sends something. */
  contactInterval: 100 satisfies Milliseconds,
  /** Time without anything from any replica after which the paths are probed. */
  maxSilence: 400 satisfies Milliseconds,
  /**
   * Time until the next such probe if the last one found nothing wrong. It doubles each time: replicas
   * under a high load are silent as well.
   */
  minSilenceBackoff: 1_000 satisfies Milliseconds,
  maxSilenceBackoff: 16_000 satisfies Milliseconds,
};
