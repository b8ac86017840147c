import type { Milliseconds } from '@apricotrill/utils';

/** Options for refusing connections while the event loop has more work than it can do in time. */
export const overloadOptions = {
  /** Iteration of the event loop from which a daemon counts as overloaded. */
  maxIteration: 150 satisfies Milliseconds,
  /** Iteration of the event loop from which new connections are accepted again. */
  recoveredIteration: 50 satisfies Milliseconds,
  /** Consecutive measurements above the limit; a single one may be a garbage collection. */
  requiredMeasurements: 2,
  /** How long another daemon counts as overloaded after its last word. */
  peerExpiry: 3_000 satisfies Milliseconds,
};
