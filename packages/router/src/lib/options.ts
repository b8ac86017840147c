/**
 * The router's tunables, times in milliseconds. What differs from deployment to deployment is in
 * the settings; these are the same everywhere.
 */
export const routerOptions = {
  /** How long a connection to a replica may take to open. */
  connectTimeout: 500,
  /** How long an idle connection to a replica is kept. */
  upstreamIdle: 10_000,
  /** How long the last bytes of an answer that needs no more reading may take. */
  answerTail: 1000,
  /** How long a caller that just connected may take to send when the daemon stops. */
  firstRequest: 1000,
  /** How long a caller may take nothing of its answer before it counts as gone. */
  callerStall: 30_000,
  /** How often the scheduler hears of the tokens of one attempt. */
  progressInterval: 200,
  /** How often connections are looked at whose headers are overdue. */
  connectionsCheck: 1000,
  /** How long, and how much of, a request that was refused unread is still read. */
  refusedBodyTimeout: 2000,
  refusedBodyBytes: 64 * 1024 * 1024,
  /** When asking again makes sense after a fault of this daemon. */
  internalRetryAfter: 1000,
  /** The longest plain answer that is relayed, in bytes. */
  maxPlainAnswer: 8 * 1024 * 1024,
  /** How often a replica's load is asked for when no answer brought it. */
  loadInterval: 1000,
  /** How many replicas are asked in one interval at most. */
  loadQuestions: 50,
  /** How long a load question may take. */
  loadTimeout: 800,
  /** Prompt characters that count for prefix affinity. */
  prefixLength: 1024,
  /** Characters of the answer body kept with a claim, for a repeat of the key. */
  maxKeptAnswer: 4096,
  /** How long the readiness answer says no before the daemon stops accepting connections. */
  drainNotice: 2000,
  /** Workspaces with a metrics label of their own; the rest share the label `other`. */
  maxWorkspaceLabels: 100,
  /** How long a request may wait for another one with its Idempotency-Key. */
  inProgressRetryAfter: 1000,
  /** When asking again makes sense for a caller whose key could not be claimed in time. */
  claimRetryAfter: 1000,
  /** How long a call to the platform may take. */
  platformTimeout: 2000,
  /** How long a daemon that starts waits for the store's word on what is accepted. */
  startGrace: 3000,
  /** How long it then waits for the accepted configuration itself. */
  startLimit: 10_000,
  /** How long a claim message between daemons may take. */
  claimCallTimeout: 1000,
  /** How long the hand-over of claim shards may take at shutdown. */
  handOverTimeout: 5000,
} as const;
