import type { Milliseconds } from '@apricotrill/utils';

/** Thresholds, durations and limits for detecting and rejecting requests that crash replicas. */
export const quarantineOptions = {
  /** Crashes with the request in flight before it can be quarantined. */
  crashThreshold: 3,
  /** Crashes after which a request is quarantined regardless of other crashes. */
  certainThreshold: 4,
  /** Crashes this close to those of a request, but without it, count as evidence of another cause. */
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
  /** How long a request is rejected; further arrivals do not extend it. */
  duration: 900_000 satisfies Milliseconds,
  /** How long a served request is ruled out as the cause of a crash. */
  servedRetention: 10_000 satisfies Milliseconds,
  /** How long quarantine reports from other daemons are rejected for a released request. */
  releaseRetention: 60_000 satisfies Milliseconds,
  /** Limit on stored served requests; the least recently served are evicted first. */
  maxServed: 5_000,
  /** Limit on stored crashes; the oldest are evicted first. */
  maxCrashes: 64,
  /** Limit on stored requests of one crash. */
  maxRequestsPerCrash: 256,
  /** Limit on quarantined requests; the one that expires first is evicted. */
  maxEntries: 500,
  /** Limits per datagram that keep it below an MTU of 1,500 bytes. */
  maxRequestsPerDatagram: 8,
  maxFingerprintsPerDatagram: 40,
};
