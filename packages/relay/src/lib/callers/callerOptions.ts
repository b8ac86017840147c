import type { Milliseconds } from '@apricotrill/utils';

/** How callers' connections are handled, beside what the configuration says. */
export const callerOptions = {
  /** The largest head that the HTTP server reads at all, in bytes; the configuration's is smaller. */
  largestHeadBytes: 131_072,
  /** How often connections with overdue heads are looked for. */
  overdueCheck: 500 satisfies Milliseconds,
  /** Retry-After while there is no configuration: a daemon that starts has one in half a second. */
  startingRetryAfter: 500 satisfies Milliseconds,
  /** Heads of callers may take this long before a configuration says otherwise. */
  headerTimeout: 3_000 satisfies Milliseconds,
  idleTimeout: 15_000 satisfies Milliseconds,
  /** A caller sends right after it has connected; some are slow to be scheduled. */
  firstRequest: 1_000 satisfies Milliseconds,
  /** How long a caller may take nothing of its answer: twice the longest timeout of a route. */
  callerStall: 30_000 satisfies Milliseconds,
  /** Retry-After where a daemon that stops takes nothing more: another one is there at once. */
  stoppingRetryAfter: 100 satisfies Milliseconds,
};
