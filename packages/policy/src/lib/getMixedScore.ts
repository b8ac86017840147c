/* eslint-disable no-bitwise -- a hash mixes bits */

const SPREAD = 0x9e3779b1;
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/**
 * A rendezvous score of two names whose hashes are known: MurmurHash3's final mix over both. It
 * costs a few nanoseconds where hashing the names again costs hundreds, which counts when every
 * replica is scored against every daemon.
 *
 * @param key - the hash of the one that prefers
 * @param candidate - the hash of one it may prefer
 * @returns a whole number below 2^32, the same on every daemon
 * @internal
 */
export function getMixedScore(key: number, candidate: number): number {
  let mixed = Math.imul(key, SPREAD) ^ candidate;
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
