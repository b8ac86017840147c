import type { Choice, Placement } from './messages.js';

/** Returns what a placer tells another daemon of its choice of a replica. */
export function getPlacement(replica: string, choice: Choice): Placement {
  const { expected, missingTokens, tokensAhead, copyTime, fetchFrom, fetchTokens } = choice;
  return {
    replica,
    expected,
    missingTokens,
    tokensAhead,
    copyTime,
    fetchFrom: fetchFrom?.id,
    fetchTokens,
  };
}
