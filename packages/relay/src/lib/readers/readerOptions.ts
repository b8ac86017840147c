import type { Milliseconds } from '@apricotrill/utils';

/** Which daemons read the store, and how the others ask them. */
export const readerOptions = {
  /** In a fleet of fewer daemons each reads the store: asking a reader would take more time than it saves. */
  leastFleet: 12,
  /** Daemons that are asked in turn before a daemon reads the store itself. */
  maxCandidates: 3,
  /** Availability zones with fewer daemons have no readers of their own. */
  leastGroup: 8,
  /**
   * A call that waits, at the store or at a reader, lasts this part of the time in which changes
   * must be in force: what went silent is noticed at its end.
   */
  waitShare: 1 / 4,
  /** What a reader knows counts as fresh for so long after the end of a wait at the store. */
  maxStaleness: 500 satisfies Milliseconds,
  /** How much later than its wait an answer may come. */
  answerSlack: 300 satisfies Milliseconds,
  /** A reader that gave no answer isn't asked for so long. */
  silentSpan: 5_000 satisfies Milliseconds,
  /** The same of one that has nothing to tell, since it doesn't reach the store either. */
  refusedSpan: 500 satisfies Milliseconds,
  /** A daemon that was asked though it isn't a reader becomes one for so long. */
  dutySpan: 10_000 satisfies Milliseconds,
  /** Daemons of a group that try the store themselves within a second while no reader reaches it. */
  triesPerSecond: 8,
};
