import type { Milliseconds } from '@apricotrill/utils';

/**
 * What the placement core is tuned by.
 *
 * @public
 */
export interface PlacementOptions {
  /** Repeats of a service are at most this part of its requests, over `retryWindow`. */
  retryRatio: number;
  retryWindow: Milliseconds;
  /** Repeats that all daemons may send beyond the ratio in one window. */
  retrySlack: number;
  /** What one running request adds to the wait for a first token. */
  runningCost: Milliseconds;
  /** How much the preferred replica of a session may be behind and still be taken. */
  homePreference: Milliseconds;
  /** Reading that was done this long ago counts for half. */
  pressureHalfLife: Milliseconds;
  /** What it costs that a request is late, in the time that it would rather wait. */
  lossCost: Milliseconds;
  /** What it costs that a request makes another one's pauses too long. */
  harmCost: Milliseconds;
  /** An engine that reads for this part of its time makes the pauses of a new stream too long. */
  harmfulShare: number;
  /** What it costs to wait for a slot where as many wait as run. */
  slotWait: Milliseconds;
  /** Tokens that an engine reads in one step, between the steps of running streams. */
  chunkTokens: number;
  /** What copying a prompt costs, as a multiple of the time that it takes. */
  copyWeight: number;
  /** The availability zone of this daemon; empty where zones don't matter. */
  availabilityZone: string;
  /** What sending a request to another zone costs, beside the wait. */
  crossingCost: Milliseconds;
  /** The same for each thousand tokens of its prompt. */
  crossingPerThousand: Milliseconds;
  /** Copying fewer tokens than this from another engine is not worth the set-up. */
  leastCopy: number;
  /** An engine's memory is kept this full at most, as a part of the whole. */
  memoryLimit: number;
  /** Over the memory limit, the wait for a place. */
  memoryCost: Milliseconds;
  /** A load report counts for half after this long. */
  reportHalfLife: Milliseconds;
  /** Time that a first attempt at a plain service may take, against the latency target. */
  plainSilence: number;
  /** The same for the first event of a stream that can be resumed. */
  streamSilence: number;
  /** A replica that refused is taken for full this long. */
  fullSpan: Milliseconds;
  /** Sends that never left this daemon, for one request. */
  unsentLimit: number;
  /** Attempts that fail in a row make a replica suspect. */
  suspectAfter: number;
  /** A replica that is silent this long with requests under way is suspect. */
  darkAfter: Milliseconds;
  /** Retry-After where the service will be back soon. */
  retryAfter: Milliseconds;
  /** How long a placer may take to answer. */
  askTimeout: Milliseconds;
  /** A placer that gave no answer isn't asked for so long, and twice as long each further time. */
  silentPlacer: Milliseconds;
  longestSilentPlacer: Milliseconds;
  /** Requests beyond its slots that a placer gives an engine, as a part of the slots. */
  placerQueue: number;
}

/**
 * The defaults. Spans that follow from a service level come from the route; those below are of the
 * machine or of our own choosing, and say where from.
 *
 * @public
 */
export const placementOptions: PlacementOptions = {
  // Operators state the ratio, the window and the slack that all daemons share in the settings;
  // these stand in where they don't.
  retryRatio: 0.2,
  retryWindow: 10_000,
  retrySlack: 1,
  // A step of an engine grows by about 0.012 ms a request and a first token needs a few of them.
  runningCost: 0.1,
  // A tenth of the shortest latency target in use.
  homePreference: 30,
  // Prompts come in bursts of a few seconds; a stream lasts one to two.
  pressureHalfLife: 1_500,
  // On the model, four named deployments and eight drawn ones: with 0, 150, 300 and 600 the mean
  // worth of the named ones is 0.83, 0.86, 0.87 and 0.85; with a harm of 150 to 300 all alike.
  lossCost: 300,
  harmCost: 200,
  harmfulShare: 0.5,
  // A long answer lasts two to three seconds.
  slotWait: 2_500,
  // The chunk of the engines in use.
  chunkTokens: 2_048,
  // Setting a copy up takes about as long as reading a hundred tokens.
  leastCopy: 128,
  // A copy fills the engines' links and memory for others too. With 4 in place of 1, on deployments
  // of 6 engines: worth 0.618 to 0.653 (4 runs under load), half of the bytes moved on a calm day.
  copyWeight: 4,
  availabilityZone: '',
  // About a millisecond a kilobyte, so that a prompt's way to another zone weighs a third of copying
  // its head: a tenth fewer bytes between zones, callers served alike (8 runs each).
  crossingCost: 3,
  crossingPerThousand: 1.2,
  // The rest is for the tokens that running requests will still generate.
  memoryLimit: 0.92,
  memoryCost: 2_000,
  // Plain requests last some 100 ms, streams a few hundred: after a second most have changed.
  reportHalfLife: 1_000,
  // Leaves a third of the target to the second attempt; 1 in 100 healthy answers takes longer.
  plainSilence: 0.65,
  // A prompt that waits behind others has its place in the queue to lose.
  streamSilence: 3,
  // About the time of a plain request.
  fullSpan: 100,
  unsentLimit: 3,
  suspectAfter: 3,
  // Longer than the first token of the largest prompt on a busy engine takes.
  darkAfter: 1_200,
  retryAfter: 300,
  // A way there and back takes up to 6 ms between zones, and a placer on a third of a core has up to
  // some 40 ms of other work before it; a quarter of the shortest latency target in use.
  askTimeout: 80,
  // A daemon that was killed is back in a few seconds.
  silentPlacer: 1_000,
  longestSilentPlacer: 8_000,
  // Replicas queue a few times their slots; what waits there can't move any more.
  placerQueue: 1,
};
