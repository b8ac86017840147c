import type { Milliseconds } from '@apricotrill/utils';

/** Options for attempts that are sent through another daemon. */
export const forwardingOptions = {
  /** Attempts that one daemon forwards for others at the same time; bounds its memory and descriptors. */
  maxForwarded: 256,
  /** Maximum time for the body of a forwarded request, which the sender has completely. */
  bodyTimeout: 2_000 satisfies Milliseconds,
  /** Maximum size of that body while no configuration is known. */
  maxBodyBytes: 1_048_576,
  /** Forwarders that one daemon uses at the same time; bounds the connections between daemons. */
  maxForwarders: 4,
  /** Forwarders that one attempt tries before it fails. */
  maxTries: 3,
  /** Forwarders that must fail to reach a replica before it is held to be down. */
  unreachableReports: 2,
  /** Time for which a forwarder is not used after it refused an attempt or did not respond. */
  failureBackoff: 1_000 satisfies Milliseconds,
  /**
   * Time after which a peer's word that it is isolated expires. In a large fleet, peers repeat it only
   * every few seconds.
   */
  isolationExpiry: 15_000 satisfies Milliseconds,
  /** Requests in flight that a forwarder in the same availability zone may have more than another. */
  sameZonePreference: 2,
};
