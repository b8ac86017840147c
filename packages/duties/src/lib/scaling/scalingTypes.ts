import type { Milliseconds } from '@apricotrill/utils';

/**
 * Bounds under which replicas of a service may be ordered.
 *
 * @public
 */
export interface ScalingLimits {
  /** In each availability zone, both sorts of replicas together. */
  leastPerZone: number;
  mostPerZone: number;
  bootTime: Milliseconds;
  /** Price of a preemptible replica as a part of another's; absent where there are none. */
  preemptiblePrice?: number;
  /** Price of a replica by availability zone; replicas may be ordered in these zones. */
  zonePrices: Readonly<Record<string, number>>;
}

/** The replicas of a service in one availability zone that are listed and stay. */
export interface ZoneSupply {
  onDemand: number;
  preemptible: number;
}

/** How many replicas of each sort a zone is to have. */
export type ZoneTarget = ZoneSupply;

/** A number for each availability zone of the service. */
export type ByZone<Value> = ReadonlyMap<string, Value>;

/** What one daemon had under way for a service lately. */
export interface ServiceDemand {
  service: string;
  /** Prompt tokens a second that engines had to read. */
  tokensPerSecond: number;
  /** Attempts under way. */
  running: number;
}
