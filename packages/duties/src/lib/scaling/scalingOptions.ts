import type { Milliseconds } from '@apricotrill/utils';

/**
 * Default options for the number of replicas to order.
 *
 * @public
 */
export const defaultScalingOptions = {
  /** The fraction of its time that an engine should spend on prefill at most. */
  maxPrefillUtilization: 0.35,
  /** Requests in flight per replica. */
  maxInFlightPerReplica: 8,
  /** The peak demand within this time determines the number of replicas. */
  peakWindow: 20_000 satisfies Milliseconds,
  /** The initial number of replicas is kept until demand has been observed for this long. */
  learningPeriod: 30_000 satisfies Milliseconds,
  /** Replicas ordered per replica needed, for services with preemptible replicas. */
  headroom: 1.5,
  /** Replicas ordered per replica needed, for services without preemptible replicas. */
  onDemandHeadroom: 1.25,
  /**
   * If fewer than this fraction of the needed replicas are available, replicas are ordered at any
   * price.
   */
  minReplicaRatio: 0.5,
  /**
   * Until the demand is known, preemptible replicas are kept ready for this fraction of the cost of
   * the initial replicas.
   */
  initialCostRatio: 0.4,
  /** The number of wanted replicas is reduced only if it shrinks by at least this fraction. */
  minShrinkRatio: 0.25,
  /** Time after the boot time within which the list must show an order. */
  listDelay: 4_000 satisfies Milliseconds,
  /** Minimum time between two orders for the same zone and replica type. */
  minOrderInterval: 2_000 satisfies Milliseconds,
  /** A daemon's demand report expires after this time. */
  demandExpiry: 3_000 satisfies Milliseconds,
};
