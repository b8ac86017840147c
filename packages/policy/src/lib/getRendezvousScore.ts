/* eslint-disable no-bitwise -- hash mixing needs bitwise operators */

const GOLDEN_RATIO_MULTIPLIER = 0x9e3779b1;
const FIRST_MIX_MULTIPLIER = 0x85ebca6b;
const SECOND_MIX_MULTIPLIER = 0xc2b2ae35;

/**
 * Computes the rendezvous hashing score of two hashes with the finalizer of MurmurHash3. Combining
 * existing hashes takes a few nanoseconds, hashing the names again takes hundreds, which matters
 * when every replica is scored against every daemon.
 *
 * @param key - the hash of the key that ranks the candidates
 * @param candidate - the hash of a candidate
 * @returns an integer below 2^32, the same on every daemon
 * @internal
 */
export function getRendezvousScore(key: number, candidate: number): number {
  let mixed = Math.imul(key, GOLDEN_RATIO_MULTIPLIER) ^ candidate;
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MIX_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MIX_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
