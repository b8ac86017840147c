import type { Milliseconds } from '@apricotrill/utils';

/**
 * What can be tuned in the decision core.
 *
 * @public
 */
export interface PolicyOptions {
  /** Tiers up to this one are urgent: they are refused only at their deadline; default 1. */
  urgentTier: number;
  /** Tiers up to this one may preempt less urgent ones; default 2. */
  preemptingTier: number;

  /** Requests of one class that wait at one daemon; default 512. */
  maxWaitingPerClass: number;
  /** The share of dispatches every waiting class gets at least; default 0.01. */
  minFloor: number;
  /** What the floors together may take from more urgent tiers; default 0.5. */
  maxFloorSum: number;

  /** What a refused caller is told to wait at least; default 500 ms. */
  minRetryAfter: Milliseconds;
  /** What a refused caller is told to wait at most; default 10 s. */
  maxRetryAfter: Milliseconds;
  /** Waiting time of a class after which its drain rate is trusted for refusals; default 3 s. */
  minDrainObservation: Milliseconds;
  /** By how much the expected wait must exceed what is left for a refusal; default 1.5. */
  refusalMargin: number;
  /** Time over which a drain rate is observed; default 5 s. */
  drainWindow: Milliseconds;
  /** How long a request that has begun its answer waits to go on before it is given up; default 2 min. */
  resumePatience: Milliseconds;

  /** How often one request may fail at a replica, preemptions not counted; default 4. */
  maxFailures: number;
  /** Retries allowed for each success, which bounds what a failing service is sent; default 0.2. */
  retryRatio: number;
  /** Retries that may come in a burst, as when a replica crashes; default 20. */
  retryBurst: number;
  /** Retries a second that are always allowed, for services with little traffic; default 1. */
  retryTrickle: number;
  /** The part of the burst kept for urgent tiers; default 0.25. */
  retryReserve: number;
  /** First wait before a replica that already failed a request is tried again; default 50 ms. */
  retryBackoff: Milliseconds;
  /** The longest such wait; default 2 s. */
  maxRetryBackoff: Milliseconds;

  /**
   * How long a request that is not urgent waits at a replica for its first token before another is
   * preempted for it, as a part of its target; default 0.75.
   */
  preemptionPatience: number;
  /** How often one request may be preempted; default 2. */
  maxPreemptions: number;
  /** How long a cancelled attempt may take to report its end; default 250 ms. */
  cancelGrace: Milliseconds;

  /** How many replicas of a service one daemon sends to, on average over daemons; default 64. */
  subsetSize: number;
  /** What may be sent above the share over less urgent work, by a replica's slots; default 0.25. */
  excess: number;
  /**
   * The part of a replica's slots that is kept free of tiers that may not preempt, while requests
   * of both kinds come; default 0.2, rounded down.
   */
  reserve: number;
  /**
   * What may wait at a replica, as a part of its slots and rounded up, while nothing is kept free:
   * a slot that ends is then taken again at once; default 0.06.
   */
  ahead: number;
  /** How long after the last request of either kind the reserve is kept; default 30 s. */
  reserveMemory: Milliseconds;
  /** Reports older than this say nothing any more; default 10 s. */
  maxReportAge: Milliseconds;
  /** How far a daemon assumes that the others act on a report as it does, 0 to 1; default 0.5. */
  stampedeDamping: number;
  /** Load, by the mean, up to which the replica that has the prefix cached is preferred; default 1.25. */
  affinityBound: number;

  /** Attempts that fail in a row before a replica is avoided; default 3. */
  failuresToAvoid: number;
  /** First avoidance of a replica that fails or can't be reached; doubles each time; default 250 ms. */
  avoidance: Milliseconds;
  /** The longest avoidance; default 10 s. */
  maxAvoidance: Milliseconds;
  /** How long a replica is avoided after a path to it went silent; default 1 s. */
  silenceAvoidance: Milliseconds;

  /** How many times slower than its peers a replica must be to be convicted; default 3. */
  stragglerFactor: number;
  /** How many times slower than its peers it may be to be acquitted; default 1.5. */
  acquittalFactor: number;
  /** What a delay must exceed the usual by to count as slow at all; default 20 ms. */
  stragglerExcess: Milliseconds;
  /** Samples needed to judge a replica; default 5. */
  stragglerSamples: number;
  /** The part of a pool that may be convicted at once; default a third. */
  maxConvicted: number;
  /** How often a convicted replica is sent one request to see whether it recovered; default 1 s. */
  probeInterval: Milliseconds;

  /** The first token of what may be repeated is awaited this many times its target; default 5. */
  firstTokenPatience: number;
  /** A first token is awaited this long at least; default 1 s. */
  minFirstTokenTimeout: Milliseconds;
  /** The next token is awaited this many times its target; default 40. */
  tokenGapPatience: number;
  /** The next token is awaited this long at least; default 3 s. */
  minTokenGapTimeout: Milliseconds;
  /** How much later than its owner the scheduler itself ends a silent attempt; default 500 ms. */
  silenceMargin: Milliseconds;

  /** How long word that a replica is leaving outlives its place in the list; default 1 min. */
  leavingMemory: Milliseconds;
}

/**
 * The documented defaults.
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
  resumePatience: 120_000,
  maxFailures: 4,
  retryRatio: 0.2,
  retryBurst: 20,
  retryTrickle: 1,
  retryReserve: 0.25,
  retryBackoff: 50,
  maxRetryBackoff: 2000,
  preemptionPatience: 0.75,
  maxPreemptions: 2,
  cancelGrace: 250,
  subsetSize: 64,
  excess: 0.25,
  reserve: 0.2,
  ahead: 0.06,
  reserveMemory: 30_000,
  maxReportAge: 10_000,
  stampedeDamping: 0.5,
  affinityBound: 1.25,
  failuresToAvoid: 3,
  avoidance: 250,
  maxAvoidance: 10_000,
  silenceAvoidance: 1000,
  stragglerFactor: 3,
  acquittalFactor: 1.5,
  stragglerExcess: 20,
  stragglerSamples: 5,
  maxConvicted: 1 / 3,
  probeInterval: 1000,
  firstTokenPatience: 5,
  minFirstTokenTimeout: 1000,
  tokenGapPatience: 40,
  minTokenGapTimeout: 3000,
  silenceMargin: 500,
  leavingMemory: 60_000,
};
