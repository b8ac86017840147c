/** Statements of callers and replicas that are not of the expected form, and count as not made. */
export enum UnreadableKind {
  /** The load of a replica: running and waiting requests, slots. */
  Load = 'load',
  /** How long work takes on the replica's machine; the rest of its load was read. */
  Slowdown = 'slowdown',
  /** The rate limit of a replica. */
  Limit = 'limit',
  /** The number of requests that a replica can turn away. */
  Threshold = 'threshold',
  /** The time for which a replica wants no requests. */
  Backoff = 'backoff',
  /** Whether a replica is about to leave. */
  Leaving = 'leaving',
  /** A statement of a replica that the same response makes again with another value. */
  Repeated = 'repeated',
  /** The address of a replica, as passed on by another daemon. */
  Address = 'address',
  /** How long a caller waits. */
  Timeout = 'timeout',
  /** The length of a caller's prompt and of its output. */
  PromptUsage = 'prompt-usage',
  /** The parts of a caller's prompt, from the first one that cannot be read. */
  PromptParts = 'prompt-parts',
}

/** A statement that could not be read, and its text. */
export interface UnreadableField {
  kind: UnreadableKind;
  text: string;
}
