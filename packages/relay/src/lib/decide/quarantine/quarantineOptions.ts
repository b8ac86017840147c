import type { Milliseconds } from '@apricotrill/utils';

/** Thresholds, durations and limits for detecting and rejecting content that crashes replicas. */
export const quarantineOptions = {
  /** Crashes with content in flight before it can be quarantined. */
  crashThreshold: 3,
  /** Crashes after which content is quarantined regardless of other crashes. */
  certainThreshold: 4,
  /** Crashes after which a part is quarantined even if other parts were in flight at the same ones. */
  distinctThreshold: 6,
  /** Further crashes that a part must have to be held responsible instead of a quarantined part. */
  dominanceMargin: 2,
  /** Crashes of a part within this time count as one. */
  simultaneousWindow: 100 satisfies Milliseconds,
  /** Crashes this close to those of content, but without it, count as evidence of another cause. */
  correlationWindow: 5_000 satisfies Milliseconds,
  /** Delay between a report and its evaluation, so that reports of the same crash can arrive. */
  evaluationDelay: 150 satisfies Milliseconds,
  /** Upper bound of that delay, which each further report extends. */
  maxEvaluationDelay: 600 satisfies Milliseconds,
  /** Upper bound of the delay before a daemon announces a crash, to avoid duplicate announcements. */
  announcementJitter: 100 satisfies Milliseconds,
  /** How long a broken replica is tracked while it is unknown whether it crashed. */
  possibleCrashRetention: 10_000 satisfies Milliseconds,
  /** How long crash reports are repeated in regular messages. */
  repeatPeriod: 5_000 satisfies Milliseconds,
  /** How long crashes are kept. */
  crashRetention: 1_800_000 satisfies Milliseconds,
  /** How long content is rejected; further arrivals do not extend it. */
  duration: 900_000 satisfies Milliseconds,
  /** Time from the quarantine of a part to the request that is let through as a trial. */
  trialDelay: 10_000 satisfies Milliseconds,
  /** Attempts of trials of one entry; another one takes place if the first had no result. */
  maxTrials: 2,
  /** How long served content is ruled out as the cause of a crash. */
  servedRetention: 10_000 satisfies Milliseconds,
  /** How long quarantine reports from other daemons are rejected for released content. */
  releaseRetention: 60_000 satisfies Milliseconds,
  /** Limit on stored served content; the least recently served is evicted first. */
  maxServed: 10_000,
  /** Limit on stored crashes; the oldest are evicted first. */
  maxCrashes: 64,
  /** Limit on stored fingerprints of one crash. */
  maxFingerprintsPerCrash: 768,
  /** Limit on the parts of one prompt that are considered; the first ones are. */
  maxPartsPerRequest: 32,
  /** Limit on quarantined content; the entry that expires first is evicted. */
  maxEntries: 500,
  /** Limits per datagram that keep it below an MTU of 1,500 bytes. */
  maxEntriesPerDatagram: 8,
  maxCrashesPerDatagram: 8,
  maxFingerprintsPerDatagram: 40,
};
