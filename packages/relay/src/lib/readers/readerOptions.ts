import type { Milliseconds } from '@apricotrill/utils';

/** Options for the selection of the daemons that read the store (readers), and for calls to them. */
export const readerOptions = {
  /**
   * In a smaller fleet, every daemon reads the store: going through a reader would cost more time than
   * it saves.
   */
  minFleetSize: 12,
  /** Number of readers that a daemon tries before it reads the store itself. */
  maxCandidates: 3,
  /** Availability zones with fewer daemons do not have a reader of their own. */
  minZoneSize: 8,
  /**
   * Daemons whose capacity is at least this fraction of the largest one of their group are preferred as
   * readers.
   */
  minCapacityRatio: 1 / 2,
  /**
   * Maximum wait of a call to the store or a reader, as a fraction of the time within which changes
   * must take effect. A dead connection is noticed only at the end of the wait.
   */
  sharedWaitRatio: 1 / 4,
  /** How long a reader's state counts as fresh after the end of a wait at the store. */
  maxStaleness: 500 satisfies Milliseconds,
  /**
   * Maximum age of the objects by which a request is rejected as unknown, as a fraction of the time within
   * which changes must take effect.
   */
  maxRefusalAgeRatio: 1 / 2,
  /** How long a request waits until older objects are confirmed. */
  confirmTimeout: 1_000 satisfies Milliseconds,
  /** Time that a reader has to respond after the end of the wait. */
  responseSlack: 300 satisfies Milliseconds,
  /** A read that takes longer than this besides its wait is logged. */
  slowRead: 250 satisfies Milliseconds,
  /** How long a reader that did not respond is not called. */
  silenceCooldown: 5_000 satisfies Milliseconds,
  /** How long a reader that cannot reach the store is not called. */
  refusalCooldown: 500 satisfies Milliseconds,
  /** Minimum time between two rounds of calls of a daemon whose pauses are ended. */
  minPause: 1_000 satisfies Milliseconds,
  /** How long a daemon acts as a reader after another one has used it as a reader. */
  requestedReaderPeriod: 10_000 satisfies Milliseconds,
  /** Calls per second to the store by all non-readers of a group while no reader can reach it. */
  maxStoreCallsPerSecond: 8,
};
