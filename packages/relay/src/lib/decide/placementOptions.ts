import type { Milliseconds } from '@apricotrill/utils';

/**
 * Options of the placement core.
 *
 * @public
 */
export interface PlacementOptions {
  /** Maximum ratio of retries to requests of a service, over `retryWindow`. */
  retryRatio: number;
  retryWindow: Milliseconds;
  /** Retries that all daemons together may send in one window in addition to the ratio. */
  retrySlack: number;
  /** Time that each running request adds to the wait for a first token. */
  runningCost: Milliseconds;
  /** Cost advantage of the home replica of a session. */
  homePreference: Milliseconds;
  /** Half-life of the prefill load: prefill that was requested this long ago counts for half. */
  pressureHalfLife: Milliseconds;
  /** Cost of a late request, expressed as an equivalent wait. */
  lossCost: Milliseconds;
  /** Cost of making another request miss its pause target. */
  harmCost: Milliseconds;
  /** Share of time spent on prefill at which an engine makes a new stream miss its pause target. */
  harmfulShare: number;
  /** Cost of waiting for a slot of an engine where as many requests wait as run. */
  slotWait: Milliseconds;
  /** Tokens that an engine prefills in one step, while its streams make one step. */
  chunkTokens: number;
  /** Cost of copying a prompt, as a multiple of the time that the copy takes. */
  copyWeight: number;
  /** Availability zone of this daemon; empty if zones don't matter. */
  availabilityZone: string;
  /** Cost of sending a request to another availability zone, in addition to the wait. */
  crossingCost: Milliseconds;
  /** Additional cost of that for each thousand tokens of the prompt. */
  crossingPerThousand: Milliseconds;
  /**
   * Minimum number of tokens that are copied from another engine; fewer don't pay for the setup.
   */
  leastCopy: number;
  /** Maximum share of an engine's KV-cache memory that is used. */
  memoryLimit: number;
  /** Cost of exceeding the memory limit: the wait for free memory. */
  memoryCost: Milliseconds;
  /** Half-life of a load report: after this time, it counts for half. */
  reportHalfLife: Milliseconds;
  /** Timeout for the first attempt at a plain service, as a multiple of the latency target. */
  plainSilence: number;
  /** Timeout for the first event of a resumable stream, as a multiple of the latency target. */
  streamSilence: number;
  /** Time for which a replica counts as full after it refused a request. */
  fullSpan: Milliseconds;
  /** Maximum number of attempts of one request that fail before any byte is sent. */
  unsentLimit: number;
  /** Number of consecutive broken attempts after which a replica is suspect. */
  suspectAfter: number;
  /** Time without any response, with requests in flight, after which a replica is suspect. */
  darkAfter: Milliseconds;
  /** Time without any response, with requests in flight, after which no silent attempt is moved to a replica. */
  silentAfter: Milliseconds;
  /** Value of Retry-After if the service is expected to recover soon. */
  retryAfter: Milliseconds;
  /** Timeout of a placement query. */
  askTimeout: Milliseconds;
  /**
   * Time for which a placer that did not respond is not queried again. It doubles with each further
   * timeout.
   */
  silentPlacer: Milliseconds;
  /** Upper bound of that time. */
  longestSilentPlacer: Milliseconds;
  /** Requests that a placer sends to an engine beyond its slots, as a ratio of the slots. */
  placerQueue: number;
}

/**
 * The default options. Durations that follow from a service level are settings of the route and not
 * listed here.
 *
 * @public
 */
export const placementOptions: PlacementOptions = {
  // Used if the operator's settings do not state the ratio, window and slack that all daemons
  // share.
  retryRatio: 0.2,
  retryWindow: 10_000,
  retrySlack: 1,
  // Each request lengthens a step of the engine by about 0.012 ms, and a first token takes a few
  // steps.
  runningCost: 0.1,
  // A tenth of the shortest latency target.
  homePreference: 30,
  // Prompts arrive in bursts of a few seconds, and a stream lasts one to two seconds.
  pressureHalfLife: 1_500,
  // Weighed against waits: a late request costs as much as a wait of the shortest latency target, and
  // a missed pause target of another request costs two thirds of that.
  lossCost: 300,
  harmCost: 200,
  harmfulShare: 0.5,
  // A long response takes two to three seconds.
  slotWait: 2_500,
  // The chunk size of common engines.
  chunkTokens: 2_048,
  // Setting up a copy takes about as long as prefilling a hundred tokens.
  leastCopy: 128,
  // A copy also takes network bandwidth and memory from other requests.
  copyWeight: 4,
  availabilityZone: '',
  // About a millisecond per kilobyte, so that sending a prompt to another zone costs a third of
  // copying its prefix.
  crossingCost: 3,
  crossingPerThousand: 1.2,
  // The rest is reserved for the tokens that running requests still have to generate.
  memoryLimit: 0.92,
  memoryCost: 2_000,
  // Plain requests take some 100 ms and streams a few hundred, so most are over after a second.
  reportHalfLife: 1_000,
  // Leaves a third of the target to the second attempt; 1 in 100 healthy responses takes longer.
  plainSilence: 0.65,
  // A prompt that waits in an engine's queue would lose its position there.
  streamSilence: 3,
  // About the duration of a plain request.
  fullSpan: 100,
  unsentLimit: 3,
  suspectAfter: 3,
  // Longer than the largest prompt takes to its first token on a busy engine.
  darkAfter: 1_200,
  // The same time without anything from any replica makes a daemon check its paths.
  silentAfter: 400,
  retryAfter: 300,
  // A round trip between zones takes up to 6 ms, and a placer on a third of a core may have some 40
  // ms of other work queued. This is a quarter of the shortest latency target.
  askTimeout: 80,
  // A daemon that was killed restarts within a few seconds.
  silentPlacer: 1_000,
  longestSilentPlacer: 8_000,
  // Replicas queue a few times their slots, and a request queued there can no longer be moved.
  placerQueue: 1,
};
