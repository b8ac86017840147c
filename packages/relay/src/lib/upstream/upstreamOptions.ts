import type { Milliseconds } from '@apricotrill/utils';

/** Limits and timeouts of connections to replicas. */
export const upstreamOptions = {
  /**
   * Opening a connection takes a few milliseconds within a region. A lost SYN packet is sent again only
   * after a second, by which time another replica has responded.
   */
  connectTimeout: 400 satisfies Milliseconds,
  /** How long an idle connection is kept if the replica does not state its keep-alive timeout. */
  idleTimeout: 4_000 satisfies Milliseconds,
  /**
   * An idle connection is closed this long before the keep-alive timeout stated by the replica. A request
   * sent while the replica closes the connection is lost, and it is unknown whether it ran.
   */
  idleTimeoutMargin: 1_000 satisfies Milliseconds,
  /** Maximum wait for the end of a response that is already complete for its reader. */
  tailTimeout: 1_000 satisfies Milliseconds,
  /** Maximum size of a plain response, which is buffered until it is complete. */
  maxBufferedBytes: 1_048_576,
};
