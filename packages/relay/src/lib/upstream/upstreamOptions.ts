import type { Milliseconds } from '@apricotrill/utils';

/** How connections to replicas are handled. */
export const upstreamOptions = {
  /**
   * How long a connection may take to open. Within a region it takes a few milliseconds; a lost
   * opening packet is sent again after a second, and by then another replica has answered.
   */
  connectTimeout: 400 satisfies Milliseconds,
  /** How long a connection rests when the replica doesn't say how long it keeps it. */
  idleTimeout: 4_000 satisfies Milliseconds,
  /**
   * How much sooner than the replica says a resting connection is closed: what is sent while the
   * replica closes is lost, and nobody can tell whether it ran.
   */
  idleMargin: 1_000 satisfies Milliseconds,
  /** How long a connection whose answer is complete may take to be free again. */
  tail: 1_000 satisfies Milliseconds,
  /** The longest plain answer that is held back until it is whole, in bytes. */
  wholeAnswerBytes: 1_048_576,
};
