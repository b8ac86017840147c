import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/**
 * A random number generator that produces the same sequence for the same seed.
 *
 * @public
 */
export interface Random {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  next(): number;
  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  integer(bound: number): number;
}

const TWO_TO_32 = 4294967296;

/**
 * Creates a random number generator.
 *
 * @param seed - any integer; the same seed produces the same sequence
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
