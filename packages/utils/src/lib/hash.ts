import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/**
 * Returns a fast 32-bit hash that is the same on every daemon. Not cryptographically secure.
 *
 * @example
 * ```ts
 * const bucket = getHash(workspace) % BUCKETS;
 * ```
 * @public
 */
export function getHash(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/**
 * Returns a 64-bit hash as sixteen hexadecimal digits, for content addresses. Not cryptographically
 * secure.
 *
 * @example
 * ```ts
 * const address = getHashHex(part);
 * ```
 * @public
 */
export function getHashHex(text: string): string {
  return xxhash.h64ToString(text);
}

/**
 * Returns the rendezvous hashing score of a candidate for a key. Every daemon that knows both
 * computes the same score, so daemons agree on owners without communicating.
 *
 * @example
 * ```ts
 * const score = getRendezvousScore('claims/7', 'daemon-3');
 * ```
 * @public
 */
export function getRendezvousScore(key: string, candidate: string): number {
  return xxhash.h32(candidate, xxhash.h32(key));
}

/**
 * Returns the candidates for a key in order of rendezvous hashing. When a candidate leaves, only
 * the keys that preferred it move.
 *
 * @example
 * ```ts
 * const [owner, successor] = getRendezvousOrder('claims/7', daemons);
 * ```
 * @public
 */
export function getRendezvousOrder(key: string, candidates: readonly string[]): string[] {
  const seed = xxhash.h32(key);
  return candidates
    .map((candidate) => ({ candidate, score: xxhash.h32(candidate, seed) }))
    .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}

/** Range of {@link getHash}, which gives 32 bits. */
const HASH_RANGE = 2 ** 32;

/**
 * Returns the candidates for a key in order of weighted rendezvous hashing: each is the first for a
 * part of the keys that is proportional to its weight. When the weight of one candidate changes, keys
 * move only to it or away from it. With equal weights, the order is that of {@link getRendezvousOrder}.
 *
 * @param getWeight - returns a number above 0, in any unit
 * @example
 * ```ts
 * const [owner] = getWeightedRendezvousOrder('claims/7', daemons, (daemon) => cores.get(daemon)!);
 * ```
 * @public
 */
export function getWeightedRendezvousOrder(
  key: string,
  candidates: readonly string[],
  getWeight: (candidate: string) => number,
): string[] {
  const seed = xxhash.h32(key);
  return candidates
    .map((candidate) => {
      // Half a step keeps the hash apart from 0 and 1, where the logarithm is of no use.
      const hash = (xxhash.h32(candidate, seed) + 1 / 2) / HASH_RANGE;
      return { candidate, score: -getWeight(candidate) / Math.log(hash) };
    })
    .sort((left, right) => right.score - left.score || (left.candidate < right.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
