import type { ClaimOutcome } from './claimTypes.js';

/**
 * The outcome as it is kept for repeats: of an answer beyond the maxSize only its status, so that a
 * shard's object stays small. A repeat learns that the request ran, and how it ended.
 *
 * @param maxSize - in bytes of the whole answer with its headers
 * @example
 * ```ts
 * truncateOutcome(outcome, 4096);
 * ```
 * @internal
 */
export function truncateOutcome(outcome: ClaimOutcome, maxSize: number): ClaimOutcome {
  if (outcome.kind !== 'answered' || Buffer.byteLength(JSON.stringify(outcome.answer)) <= maxSize) {
    return outcome;
  }
  return { kind: 'answered', answer: { kind: 'status-only', status: outcome.answer.status } };
}
