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
  /**
   * Time after which all connections of a process that has ended are known to be closed. Longer than it takes TCP
   * to send a lost packet again.
   */
  endSettleTime: 250 satisfies Milliseconds,
  /** Maximum wait for a replica that is asked whether it still runs; allows for the wait for a slot. */
  endCheckTimeout: 400 satisfies Milliseconds,
  /** Maximum size of a plain response, which is buffered until it is complete. */
  maxBufferedBytes: 1_048_576,
  /** Maximum size of an event of a stream, and of what precedes its first event. */
  maxEventBytes: 1_048_576,
  /**
   * Maximum size of what a response contains besides its body: heads (informational ones too), chunk sizes and
   * extensions, trailers. Includes what has been received and not yet been passed on.
   */
  maxOverheadBytes: 262_144,
  /** Further overhead for each byte of the body, since chunks can be small. */
  overheadPerBodyByte: 8,
};
