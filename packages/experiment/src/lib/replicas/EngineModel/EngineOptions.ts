import type { Milliseconds } from '@apricotrill/utils';

/**
 * How fast a modelled engine is. The defaults are an assumption: a mid-size model on one
 * accelerator, decoding under 30 ms a token when full.
 *
 * @public
 */
export interface EngineOptions {
  /** Sequences decoded together; default 16. */
  slots: number;
  /** One decoding iteration without any sequence; default 18 ms. */
  iterationBase: Milliseconds;
  /** What each running sequence adds to an iteration; default 0.35 ms. */
  iterationPerSequence: Milliseconds;
  /** Time to compute one prompt token; default 0.05 ms. */
  prefillPerToken: Milliseconds;
  /** Prompt tokens computed in one iteration at most (chunked prefill); default 512. */
  prefillChunk: number;
  /** Iterations simulated as one step, which bounds the number of events; default 2. */
  iterationsPerStep: number;
  /** Prefix tokens the engine keeps; default 60,000. */
  cacheTokens: number;
  /** Waiting jobs beyond which the engine refuses, by multiples of its slots; default 8. */
  waitingPerSlot: number;
}

/** The documented defaults. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  slots: 16,
  iterationBase: 18,
  iterationPerSequence: 0.35,
  prefillPerToken: 0.05,
  prefillChunk: 512,
  iterationsPerStep: 2,
  cacheTokens: 60_000,
  waitingPerSlot: 8,
};
