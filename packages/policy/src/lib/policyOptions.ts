import type { Milliseconds } from '@apricotrill/utils';

/**
 * The options of the scheduling policy.
 *
 * @public
 */
export interface PolicyOptions {
  /**
   * Tiers up to this one are urgent: their requests are refused only at their deadline; default 1.
   */
  urgentTier: number;
  /** Tiers up to this one may preempt less urgent ones; default 2. */
  preemptingTier: number;

  /** Maximum number of waiting requests of one class at one daemon; default 512. */
  maxWaitingPerClass: number;
  /** Minimum share of dispatches for every class that has requests waiting; default 0.01. */
  minFloor: number;
  /**
   * Maximum share of dispatches that all floors together may take from more urgent tiers; default
   * 0.5.
   */
  maxFloorSum: number;

  /** Minimum retry delay given to a refused caller; default 500 ms. */
  minRetryAfter: Milliseconds;
  /** Maximum retry delay given to a refused caller; default 10 s. */
  maxRetryAfter: Milliseconds;
  /**
   * How long a class must have had requests waiting before its drain rate is used for refusals;
   * default 3 s.
   */
  minDrainObservation: Milliseconds;
  /**
   * A request is refused when its expected wait exceeds its remaining time by this factor; default
   * 1.5.
   */
  refusalMargin: number;
  /** Length of the window over which a drain rate is measured; default 5 s. */
  drainWindow: Milliseconds;
  /**
   * How long a request whose response has started may wait to be resumed before it is given up;
   * default 2 min.
   */
  resumeTimeout: Milliseconds;

  /** Maximum number of failed attempts of one request, not counting preemptions; default 4. */
  maxFailures: number;
  /**
   * Retries allowed per successful request, which limits the load on a failing service; default
   * 0.2.
   */
  retryRatio: number;
  /** Maximum number of retries in a burst, as after a replica crash; default 20. */
  retryBurst: number;
  /** Retries per second that are always allowed, for services with little traffic; default 1. */
  minRetriesPerSecond: number;
  /** Fraction of the retry burst that is reserved for urgent tiers; default 0.25. */
  urgentRetryShare: number;
  /**
   * Initial delay before a request is sent again to a replica that already failed it; default 50
   * ms.
   */
  retryBackoff: Milliseconds;
  /** Maximum delay before a request is sent again to a replica that failed it; default 2 s. */
  maxRetryBackoff: Milliseconds;

  /**
   * How long a request of a preempting but not urgent tier waits at a replica for its first token
   * before another request is preempted for it, as a fraction of its first-token target; default
   * 0.75.
   */
  preemptionDelayFactor: number;
  /** Maximum number of times one request may be preempted; default 2. */
  maxPreemptions: number;
  /** How long the scheduler waits for a cancelled attempt to report its end; default 250 ms. */
  cancelGrace: Milliseconds;

  /** Average number of replicas of a service to which one daemon sends requests; default 64. */
  subsetSize: number;
  /**
   * How many requests may be sent above the share, ahead of less urgent work, as a fraction of the
   * slots of a replica; default 0.25.
   */
  overcommitRatio: number;
  /**
   * Fraction of the slots of a replica, rounded down, that is kept free of tiers that may not
   * preempt while requests of both kinds arrive; default 0.2.
   */
  reservedSlotRatio: number;
  /**
   * How many requests may wait at a replica while no slots are reserved, as a fraction of its slots
   * and rounded up. A slot that becomes free is then reused at once; default 0.06.
   */
  replicaQueueRatio: number;
  /** How long slots stay reserved after the last request of either kind; default 30 s. */
  reserveRetention: Milliseconds;
  /** Load reports older than this are ignored; default 10 s. */
  maxReportAge: Milliseconds;
  /**
   * To what degree the other daemons are assumed to react to a load report as this one does, from 0
   * to 1; default 0.5.
   */
  peerCorrelation: number;
  /**
   * The replica that has the prefix cached is preferred up to this multiple of the mean load;
   * default 1.25.
   */
  affinityLoadFactor: number;

  /** Consecutive failed attempts that put a replica into cooldown; default 3. */
  failuresBeforeCooldown: number;
  /**
   * Initial cooldown of a replica that fails or is unreachable; doubles each time; default 250 ms.
   */
  cooldown: Milliseconds;
  /** Maximum cooldown of a replica; default 10 s. */
  maxCooldown: Milliseconds;
  /** Cooldown of a replica after a path to it stopped responding; default 1 s. */
  silenceCooldown: Milliseconds;

  /**
   * A replica that is this many times slower than its peers is marked as a straggler; default 3.
   */
  stragglerFactor: number;
  /**
   * A straggler that is at most this many times slower than its peers has recovered; default 1.5.
   */
  recoveryFactor: number;
  /**
   * A delay counts as slow only if it exceeds the median of its class by this much; default 20 ms.
   */
  minStragglerExcess: Milliseconds;
  /** Minimum number of samples needed to classify a replica; default 5. */
  minStragglerSamples: number;
  /** Maximum fraction of a pool that may be marked as stragglers at once; default 1/3. */
  maxStragglerRatio: number;
  /**
   * Interval at which a straggler is sent one request to check whether it has recovered; default 1
   * s.
   */
  probeInterval: Milliseconds;

  /**
   * First-token timeout of a repeatable request, as a multiple of its first-token target; default
   * 5.
   */
  firstTokenTimeoutFactor: number;
  /** Minimum first-token timeout; default 1 s. */
  minFirstTokenTimeout: Milliseconds;
  /** Timeout for the next token, as a multiple of the inter-token target; default 40. */
  tokenGapTimeoutFactor: number;
  /** Minimum timeout for the next token; default 3 s. */
  minTokenGapTimeout: Milliseconds;
  /**
   * How much later than its owner the scheduler itself ends an attempt that timed out; default 500
   * ms.
   */
  silenceTimeoutMargin: Milliseconds;

  /**
   * How long a notice that a replica is leaving is kept after the replica is no longer listed;
   * default 1 min.
   */
  leavingRetention: Milliseconds;
}

/**
 * The default policy options.
 *
 * @public
 */
export const defaultPolicyOptions: PolicyOptions = {
  urgentTier: 1,
  preemptingTier: 2,
  maxWaitingPerClass: 512,
  minFloor: 0.01,
  maxFloorSum: 0.5,
  minRetryAfter: 500,
  maxRetryAfter: 10_000,
  minDrainObservation: 3000,
  refusalMargin: 1.5,
  drainWindow: 5000,
  resumeTimeout: 120_000,
  maxFailures: 4,
  retryRatio: 0.2,
  retryBurst: 20,
  minRetriesPerSecond: 1,
  urgentRetryShare: 0.25,
  retryBackoff: 50,
  maxRetryBackoff: 2000,
  preemptionDelayFactor: 0.75,
  maxPreemptions: 2,
  cancelGrace: 250,
  subsetSize: 64,
  overcommitRatio: 0.25,
  reservedSlotRatio: 0.2,
  replicaQueueRatio: 0.06,
  reserveRetention: 30_000,
  maxReportAge: 10_000,
  peerCorrelation: 0.5,
  affinityLoadFactor: 1.25,
  failuresBeforeCooldown: 3,
  cooldown: 250,
  maxCooldown: 10_000,
  silenceCooldown: 1000,
  stragglerFactor: 3,
  recoveryFactor: 1.5,
  minStragglerExcess: 20,
  minStragglerSamples: 5,
  maxStragglerRatio: 1 / 3,
  probeInterval: 1000,
  firstTokenTimeoutFactor: 5,
  minFirstTokenTimeout: 1000,
  tokenGapTimeoutFactor: 40,
  minTokenGapTimeout: 3000,
  silenceTimeoutMargin: 500,
  leavingRetention: 60_000,
};
