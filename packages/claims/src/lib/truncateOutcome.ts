import type { ClaimOutcome } from './claimTypes.js';

/**
 * Returns the outcome as it is stored for repeats. A response that exceeds the maximum size is
 * reduced to its status, so that the objects of a shard stay small. A repeat then still learns that
 * the request ran, and with which status.
 *
 * @param maxSize - of the whole response with its headers, in bytes
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
