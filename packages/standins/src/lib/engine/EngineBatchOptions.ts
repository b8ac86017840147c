import type { Milliseconds } from '@apricotrill/utils';

/**
 * The performance of the simulated engine. Time is divided into steps; each step generates one
 * token for every running request and computes a part of the prompts of those in prefill.
 *
 * @public
 */
export interface EngineBatchOptions {
  /** The number of requests that run at once. */
  slots: number;
  /** The base duration of a step, in milliseconds. */
  stepBase: Milliseconds;
  /** The duration that each running request adds to a step, in milliseconds. */
  stepPerRequest: Milliseconds;
  /** The duration that each uncached prompt token adds to a step, in milliseconds. */
  prefillPerToken: Milliseconds;
  /** The maximum number of prompt tokens computed in one step, over all requests. */
  prefillPerStep: number;
  /** The capacity of the prefix cache, in blocks. */
  cacheBlocks: number;
  /** The number of prompt tokens in a block. */
  blockTokens: number;
  /** How long the reported load lags behind the actual load, in milliseconds. */
  loadLag: Milliseconds;
}

/**
 * An engine of typical size: 20 ms between tokens when almost idle, about 36 ms with all 16 slots
 * busy, and a prefill of about 100 ms for 1,000 uncached tokens.
 *
 * @public
 */
export const defaultEngineBatchOptions: EngineBatchOptions = {
  slots: 16,
  stepBase: 20,
  stepPerRequest: 1,
  prefillPerToken: 0.05,
  prefillPerStep: 512,
  cacheBlocks: 4_096,
  blockTokens: 16,
  loadLag: 200,
};
