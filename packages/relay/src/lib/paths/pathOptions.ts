import type { Milliseconds } from '@apricotrill/utils';

/** Options for finding out whether this daemon reaches a replica. */
export const pathOptions = {
  /** Opening a connection takes a few milliseconds within a region. */
  probeTimeout: 250 satisfies Milliseconds,
  /** Allows a peer that is asked the time of its own probe. */
  askTimeout: 400 satisfies Milliseconds,
  /** Peers that are asked, since some of them may be behind the same partition. */
  askedPeers: 3,
};
