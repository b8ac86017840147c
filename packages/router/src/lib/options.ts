/**
 * Options of the router that are the same in all deployments; what differs between deployments is in
 * the settings. Times are in milliseconds.
 */
export const defaultRouterOptions = {
  /** Timeout for opening a connection to a replica. */
  connectTimeout: 500,
  /** How long an idle connection to a replica is kept open. */
  upstreamIdleTimeout: 10_000,
  /** Timeout for the last bytes of a response whose result is already known. */
  responseDrainTimeout: 1000,
  /** How long a shutdown waits for the first request on a new connection. */
  firstRequestTimeout: 1000,
  /** How long a caller may read nothing of its response before it is disconnected. */
  callerStallTimeout: 30_000,
  /** How long a stream that is broken off waits for its caller to receive the last event. */
  brokenStreamDelay: 100,
  /** The minimum interval between progress reports of an attempt to the scheduler. */
  progressInterval: 200,
  /** How often connections are checked for overdue request headers. */
  connectionsCheckInterval: 1000,
  /** How long, and up to how many bytes, the body of a rejected request is read and discarded. */
  refusedBodyTimeout: 2000,
  maxRefusedBodyBytes: 64 * 1024 * 1024,
  /** Retry delay reported to callers after an internal error. */
  internalRetryAfter: 1000,
  maxPlainResponseBytes: 8 * 1024 * 1024,
  /** How often a replica's load is polled if no response carried it. */
  loadPollInterval: 1000,
  /** The maximum number of replicas polled per interval. */
  maxLoadPolls: 50,
  loadPollTimeout: 800,
  /** Timeout for confirming that a replica still runs after a response that ended with its connection. */
  livenessTimeout: 800,
  /** The number of prompt characters used for prefix affinity. */
  prefixCharacters: 1024,
  /** Characters of the response body stored with a claim, for retries with the same key. */
  maxStoredBodyCharacters: 4096,
  /** How long the readiness check fails before the daemon stops accepting connections. */
  readinessDrainDelay: 2000,
  /** The number of workspaces with their own metrics label; the rest share the label `other`. */
  maxWorkspaceLabels: 100,
  /** Retry delay reported while another request with the same Idempotency-Key is running. */
  inProgressRetryAfter: 1000,
  /** Retry delay reported when the key could not be claimed in time. */
  claimRetryAfter: 1000,
  /** Timeout of a call to the platform. */
  platformTimeout: 2000,
  /** How long a starting daemon waits for the store to name the accepted generation. */
  acceptedGenerationTimeout: 3000,
  /** How long a starting daemon waits at most for the accepted configuration itself. */
  firstConfigurationTimeout: 10_000,
  /** Timeout of a claim message between daemons. */
  claimCallTimeout: 1000,
  /** Timeout for handing over the claim shards at shutdown. */
  handOverTimeout: 5000,
} as const;
