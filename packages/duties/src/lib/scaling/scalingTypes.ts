import type { Milliseconds } from '@apricotrill/utils';

/**
 * Limits for the replicas of a service that may be ordered.
 *
 * @public
 */
export interface ScalingLimits {
  /** Minimum in each availability zone, on-demand and preemptible replicas together. */
  minPerZone: number;
  /** Maximum in each availability zone, on-demand and preemptible replicas together. */
  maxPerZone: number;
  bootTime: Milliseconds;
  /**
   * Price of a preemptible replica as a fraction of the on-demand price; absent if there are none.
   */
  preemptiblePrice?: number;
  /** Replica price by availability zone; replicas may be ordered only in these zones. */
  zonePrices: Readonly<Record<string, number>>;
}

/** The replicas of a service that are listed in one availability zone and are not leaving. */
export interface ZoneSupply {
  onDemand: number;
  preemptible: number;
}

/** The target number of replicas of each type in an availability zone. */
export type ZoneTarget = ZoneSupply;

/** Values by availability zone. */
export type ZoneMap<Value> = ReadonlyMap<string, Value>;

/** The recent load that one daemon, or the whole fleet, sends to a service. */
export interface ServiceDemand {
  service: string;
  /** Prompt tokens per second that engines had to prefill. */
  tokensPerSecond: number;
  /** Attempts in flight. */
  running: number;
}
