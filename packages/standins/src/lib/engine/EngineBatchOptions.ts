import type { Milliseconds } from '@apricotrill/utils';

/**
 * How fast the modelled engine is. Time goes by in steps; each step gives every running request
 * one token, and works through a share of the prompts of those that have just begun.
 *
 * @public
 */
export interface EngineBatchOptions {
  /** Requests run at once. */
  slots: number;
  /** What a step takes however few requests run, in milliseconds. */
  stepBase: Milliseconds;
  /** What each request adds to a step, in milliseconds. */
  stepPerRequest: Milliseconds;
  /** What each uncached prompt token adds to a step, in milliseconds. */
  prefillPerToken: Milliseconds;
  /** Prompt tokens one step works through at most, over all requests. */
  prefillPerStep: number;
  /** Blocks the prefix cache holds. */
  cacheBlocks: number;
  /** Prompt tokens in a block. */
  blockTokens: number;
  /** How long the reported load stays behind the truth, in milliseconds. */
  loadLag: Milliseconds;
}

/**
 * An engine of today's size: 20 ms between tokens when almost idle, about 36 ms with all 16
 * slots busy, a prompt of 1,000 uncached tokens in about 100 ms.
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
