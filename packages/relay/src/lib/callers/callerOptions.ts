import { DEFAULT_SEQUENCE_LIMITS } from '@apricotrill/callers';
import type { Milliseconds } from '@apricotrill/utils';

/** Limits on connections from callers that are not part of the configuration. */
export const callerOptions = {
  /** Hard limit of the HTTP server; the limit in the configuration is lower. */
  maxHeadBytes: 131_072,
  /**
   * Fields of a head, beyond which the HTTP server drops the rest. A head of 16 KiB has no room for more: each takes
   * at least four bytes.
   */
  maxHeadFields: 4_096,
  /** Requests that callers may send before they receive the responses to earlier ones. */
  requestsAhead: DEFAULT_SEQUENCE_LIMITS,
  /** How often connections are checked for heads that exceed the timeout. */
  headCheckInterval: 500 satisfies Milliseconds,
  /** Retry-After until the first configuration arrives, which takes half a second after the start. */
  startingRetryAfter: 500 satisfies Milliseconds,
  /** Retry-After for what only a configuration that this daemon can't read at the moment may contain. */
  unconfirmedRetryAfter: 500 satisfies Milliseconds,
  /** Initial timeout for request heads, until the first configuration arrives. */
  headerTimeout: 3_000 satisfies Milliseconds,
  idleTimeout: 15_000 satisfies Milliseconds,
  /** Callers send immediately after connecting, but some may be slow to be scheduled. */
  firstRequestTimeout: 1_000 satisfies Milliseconds,
  /** Maximum time without progress in sending a response: twice the longest route timeout. */
  stallTimeout: 30_000 satisfies Milliseconds,
  /** Retry-After from a daemon that is stopping; short, because other daemons are available. */
  stoppingRetryAfter: 100 satisfies Milliseconds,
};
