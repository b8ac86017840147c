import type { Milliseconds } from '@apricotrill/utils';

const MEBIBYTE = 1_048_576;

/** Options for the memory that a daemon holds for callers, replicas and other daemons. */
export const memoryOptions = {
  /** What the process needs by itself where the operating system does not tell, in bytes. */
  ownBytes: 90 * MEBIBYTE,
  /**
   * How much the process grows by itself after its start, in bytes. The engine frees buffers that are no longer
   * used only after 64 MiB of them, and its heap grows.
   */
  reservedBytes: 72 * MEBIBYTE,
  /** Bytes of memory per byte held, as memory is allocated in larger pieces. */
  overhead: 1.25,
  /** Least bound, so that a daemon with a low limit still serves requests, in bytes. */
  minBudgetBytes: 8 * MEBIBYTE,
  /** What an open request needs besides its body: two sockets, two parsers and its state; in bytes. */
  requestBytes: 24_576,
  /** What the sockets of a response hold beyond what is counted while its caller does not read, in bytes. */
  pausedResponseBytes: 98_304,
  /** What a field of a head needs on the heap besides its characters, in bytes. */
  headFieldBytes: 128,
  /** What the engine counts toward its limit of the heap for new objects, and does not let old ones have. */
  youngHeapBytes: 48 * MEBIBYTE,
  /**
   * Part of the heap that may be in use while requests are admitted. The engine ends the process if collections
   * leave four fifths of it in use and take most of the time.
   */
  heapAdmittedShare: 0.65,
  /** Part of it that may be in use while the least urgent requests are admitted, relative to that. */
  heapLeastUrgentShare: 0.9,
  /**
   * Part of the limit of the process that may be in use while requests are admitted, whatever is counted. What
   * has been admitted still grows.
   */
  processAdmittedShare: 0.8,
  /** Part of that at which the least urgent requests are refused. */
  processLeastUrgentShare: 0.9,
  /** Part of the limit beyond which the log says that the process is near it. */
  nearShare: 0.8,
  /** How old the known memory of the process may be. */
  readInterval: 200 satisfies Milliseconds,
  /** Part of the bound that new requests may fill; the rest is for the responses of those that run. */
  admittedShare: 0.75,
  /** Part of the room for new requests that the least urgent ones may fill. */
  leastUrgentShare: 0.7,
  /** Requests that were refused are admitted again once this part of their room is not exceeded. */
  reopenShare: 0.9,
  /** Maximum time until a body is read; others can be served at another daemon by then. */
  maxBodyWait: 500 satisfies Milliseconds,
  /** Retry-After of a request that is refused for lack of memory. */
  retryAfter: 500 satisfies Milliseconds,
  /**
   * A response that was not read for this long and then breaks was cut off by its replica for that.
   * Replicas wait for some seconds.
   */
  minUnreadTime: 1_000 satisfies Milliseconds,
  /** How long after it is read again such a response may still break for that: what arrived before comes first. */
  maxCutDelay: 3_000 satisfies Milliseconds,
};
