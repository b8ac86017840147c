import createXxhash from 'xxhash-wasm';

const xxhash = await createXxhash();

/**
 * A fast 32-bit hash, the same on every daemon. Not for secrets.
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
 * A 64-bit hash as sixteen hexadecimal digits, for content addresses. Not for secrets.
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
 * How strongly a key prefers a candidate: every daemon that knows both computes the same score,
 * so daemons agree on owners without talking.
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
 * The candidates in the order of a key's preference. A candidate that leaves moves only the keys
 * that preferred it.
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
