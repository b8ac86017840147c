import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A stream of random numbers that repeats for the same seed.
 *
 * @public
 */
export interface Random {
  /** A number from 0 (included) to 1 (excluded). */
  next(): number;
  /** A whole number from 0 (included) to `bound` (excluded). */
  integer(bound: number): number;
}

const TWO_TO_32 = 4294967296;

/**
 * Creates a random stream.
 *
 * @param seed - any whole number; the same seed gives the same stream
 * @example
 * ```ts
 * const random = createRandom(1);
 * const replica = replicas[random.integer(replicas.length)];
 * ```
 * @public
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise
  const next = () => (generator.next() >>> 0) / TWO_TO_32;
  return { next, integer: (bound) => Math.floor(next() * bound) };
}
