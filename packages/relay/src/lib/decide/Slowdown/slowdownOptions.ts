import type { Milliseconds } from '@apricotrill/utils';

/** Options for estimating how long work takes on machines that replicas share with others. */
export const slowdownOptions = {
  /** Bounds of a stated slowdown. Beyond them a statement is an error rather than a load. */
  min: 0.25,
  max: 10,
  /** Time over which the long-run mean forgets: many spells of a second or less. */
  meanTime: 30_000 satisfies Milliseconds,
  /** A statement stands for at most this time in the long-run mean. */
  maxStatementTime: 1_000 satisfies Milliseconds,
  /** Weight of the usual slowdown of 1 in the long-run mean before the first statement. */
  initialMeanTime: 5_000 satisfies Milliseconds,
  /** Statements kept to estimate the slowdown while a prompt was read: the wait of a long prompt. */
  maxStatements: 16,
  /** Time after which a deviation from the mean counts for 1/e, before agreement was measured. */
  initialPersistence: 400 satisfies Milliseconds,
  /** Weight of that, as an equivalent number of pairs of statements. */
  initialPairs: 20,
  /** Part of the highest stated slowdown, above 1, that is kept per further statement of the service. */
  retainedHighest: 0.999,
  /** Part of the measured agreement that is kept per further pair of statements. */
  retainedPerPair: 0.998,
};
