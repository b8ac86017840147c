import { createRandom } from '@apricotrill/utils';
import type { Random } from '@apricotrill/utils';
import type { HeavyTail } from '../deployments/Deployment.js';

const MEAN_SAMPLES = 20_000;

/** Samples the standard normal distribution by the Box-Muller transform. */
function sampleNormal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/**
 * Samples one length.
 *
 * @example
 * ```ts
 * const tokens = Math.ceil(sampleHeavyTail(random, { median: 120, sigma: 1, limit: 2000 }));
 * ```
 * @internal
 */
export function sampleHeavyTail(random: Random, { median, sigma, limit }: HeavyTail): number {
  return Math.min(limit, median * Math.exp(sigma * sampleNormal(random)));
}

/**
 * Estimates the mean of the capped distribution from samples with a fixed seed.
 *
 * @internal
 */
export function getHeavyTailMean(tail: HeavyTail): number {
  const random = createRandom(1);
  let sum = 0;
  for (let index = 0; index < MEAN_SAMPLES; index += 1) {
    sum += sampleHeavyTail(random, tail);
  }
  return sum / MEAN_SAMPLES;
}
