import type { Milliseconds } from '@apricotrill/utils';

/**
 * Options of the admission of requests to the engines of a replica group. Durations that follow from a
 * request's latency target are stated as a share of it.
 */
export interface AdmissionOptions {
  /**
   * Share of the shortest latency target that the prompts pending at an engine may take. What is left is
   * for the next urgent request itself, which cannot pass prompts that are at the engine already.
   */
  backlogShare: number;
  /** Time that a decision and a request take to an engine, which must not run dry meanwhile. */
  transferTime: Milliseconds;
  /** Share of a request's latency target that is reserved for the way and for errors of the forecast. */
  targetReserve: number;
  /** How long a request counts among the recent ones, with its latency target and its rank. */
  targetMemory: Milliseconds;
  /** Maximum share of an engine's KV-cache memory that is used. */
  memoryLimit: number;
  /** Engine time of an output token, as a multiple of the time that the prefill of a token takes. */
  outputWeight: number;
  /** Cost of a request without a prompt, as an equivalent number of prefilled tokens. */
  plainCost: number;
  /** Share of the begins that is kept for ranks which would get nothing while more urgent ones wait. */
  floorShare: number;
  /** Maximum time between two reviews while requests wait, as a share of their shortest latency target. */
  reviewShare: number;
  /** Minimum time between two reviews that no event causes. */
  minReviewInterval: Milliseconds;
  /** Maximum number of refused requests that are remembered. */
  maxRefused: number;
  /** How long a refused request is remembered. */
  refusedMemory: Milliseconds;
  /** Lower bound of Retry-After. */
  minRetryAfter: Milliseconds;
  /** Upper bound of Retry-After, as a share of the time that the caller has left. */
  maxRetryShare: number;
}

/** The default options. */
export const admissionOptions: AdmissionOptions = {
  backlogShare: 0.5,
  // A round trip between zones and the queue of a busy daemon.
  transferTime: 20,
  targetReserve: 0.1,
  targetMemory: 5_000,
  // The rest is reserved for the tokens that running requests still have to generate.
  memoryLimit: 0.92,
  // A step yields one token of each running request and takes as long as the prefill of some dozens.
  outputWeight: 4,
  plainCost: 100,
  // Hardly delays an urgent request: 1 in 16 that begin before it is less urgent.
  floorShare: 1 / 16,
  reviewShare: 1 / 16,
  minReviewInterval: 1,
  // Two seconds of refusals at ten times what a group of 16 engines can do.
  maxRefused: 4_096,
  // Longer than callers are asked to stay away, several times in a row.
  refusedMemory: 15_000,
  minRetryAfter: 100,
  // Leaves time for the second attempt and one more.
  maxRetryShare: 1 / 3,
};
