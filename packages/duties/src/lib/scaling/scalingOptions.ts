import type { Milliseconds } from '@apricotrill/utils';

/**
 * How many replicas are ordered for a demand.
 *
 * @public
 */
export const scalingOptions = {
  /** The part of its time that an engine may spend on reading prompts. */
  readingUse: 0.35,
  /** Requests under way at one engine. */
  runningPerReplica: 8,
  /** The highest demand within this time counts. */
  peakSpan: 20_000 satisfies Milliseconds,
  /** Replicas that were there at the start are kept until demand was seen for this long. */
  learnSpan: 30_000 satisfies Milliseconds,
  /** Replicas ordered for each that the demand needs, where they are preemptible. */
  headroom: 1.5,
  /** The same where they are not. */
  onDemandHeadroom: 1.25,
  /** Part of the replicas that the demand needs below which others are ordered at any price. */
  leastPart: 0.5,
  /**
   * Preemptible replicas are kept ready for this part of what those cost that were there at the
   * start, until the demand is known.
   */
  readyPart: 0.4,
  /** Fewer replicas are ordered only if they are fewer by this part. */
  shrinkBy: 0.25,
  /** After an order, the list is given the boot time and this to show it. */
  listLag: 4_000 satisfies Milliseconds,
  /** Between two orders of the same count, and after a refusal. */
  repeatAfter: 2_000 satisfies Milliseconds,
  /** A daemon's word on its demand counts for this long. */
  demandExpiry: 3_000 satisfies Milliseconds,
};
