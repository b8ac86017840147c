import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaOrder } from '../../DutyPlatform.js';
import { getTargets } from '../getTargets.js';
import type { ScalingRequirement } from '../getTargets.js';
import { defaultScalingOptions } from '../scalingOptions.js';
import type {
  ZoneMap,
  ScalingLimits,
  ServiceDemand,
  ZoneSupply,
  ZoneTarget,
} from '../scalingTypes.js';

/** The reason for an order of replicas. */
export enum OrderReason {
  /** The demand, or the supply that serves it, has changed. */
  Demand = 'demand',
  /** Replicas that were listed before are gone. */
  Lost = 'lost',
  /** The list does not show the ordered replicas in time. */
  NotListed = 'not-listed',
}

/** An order that is due, with the figures that it is based on. */
export interface PlannedOrder extends ReplicaOrder {
  reason: OrderReason;
  /** Replicas wanted in all availability zones together. */
  wanted: number;
  /** Replicas of the ordered type that are listed in the zone. */
  running: number;
}

export interface ScalingInput {
  limits: ScalingLimits;
  /** By availability zone. */
  supply: ZoneMap<ZoneSupply>;
  demand: ServiceDemand;
  /** Prompt tokens that one engine prefills per millisecond. */
  readRate: number;
  now: Milliseconds;
}

/** The last order for one type of replica in one zone. */
interface LastOrder {
  count: number;
  at: Milliseconds;
  /** Whether the list has shown the ordered replicas since. */
  isListed: boolean;
}

interface Sample {
  needed: number;
  at: Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

const REPLICA_TYPES = ['preemptible', 'onDemand'] as const;

function getKey(zone: string, replicaType: keyof ZoneTarget): string {
  return `${zone}/${replicaType}`;
}

/** Returns how many replicas a demand needs if it is spread evenly over them. */
function getNeededReplicas({ tokensPerSecond, running }: ServiceDemand, readRate: number): number {
  const { maxPrefillUtilization, maxInFlightPerReplica } = defaultScalingOptions;
  const prefillLoad = tokensPerSecond / (readRate * MILLISECONDS_PER_SECOND);
  return prefillLoad / maxPrefillUtilization + running / maxInFlightPerReplica;
}

/** Returns how many replicas are kept ready while the demand is unknown. */
function getReadyReplicas(initial: number, { preemptiblePrice }: ScalingLimits): number {
  const factor =
    preemptiblePrice === undefined ? 1 : defaultScalingOptions.initialCostRatio / preemptiblePrice;
  return Math.ceil(initial * Math.max(1, factor));
}

/**
 * Decides which replicas of one service to order, based on the demand, the listed replicas and
 * earlier orders. Does no I/O.
 *
 * @example
 * ```ts
 * const [order] = planner.plan({ limits, supply, demand, readRate, now });
 * ```
 * @internal
 */
export class ReplicaPlanner {
  private readonly lastOrders = new Map<string, LastOrder>();

  private samples: Sample[] = [];

  /** Replicas that were listed when this planner started. */
  private initialReplicas: number | undefined;

  /** When demand was first observed. */
  private firstDemandAt: Milliseconds | undefined;

  private wanted: number | undefined;

  constructor(private readonly service: string) {}

  /** Records the demand and returns the orders that are due. */
  plan(input: ScalingInput): PlannedOrder[] {
    const requirement = this.getRequirement(input);
    const targets = getTargets(requirement, input.supply, input.limits);
    return [...targets].flatMap(([zone, target]) =>
      REPLICA_TYPES.flatMap((replicaType) =>
        this.getOrder(input, zone, replicaType, target[replicaType], requirement.wanted),
      ),
    );
  }

  /** Records an order that is about to be sent. */
  recordOrder({ availabilityZone, isPreemptible, count }: ReplicaOrder, now: Milliseconds): void {
    const key = getKey(availabilityZone, isPreemptible ? 'preemptible' : 'onDemand');
    this.lastOrders.set(key, { count, at: now, isListed: false });
  }

  private getRequirement({
    demand,
    limits,
    now,
    readRate,
    supply,
  }: ScalingInput): ScalingRequirement {
    const {
      headroom,
      learningPeriod,
      minReplicaRatio,
      onDemandHeadroom,
      peakWindow,
      minShrinkRatio,
    } = defaultScalingOptions;
    const listedReplicas = [...supply.values()].reduce(
      (total, { onDemand, preemptible }) => total + onDemand + preemptible,
      0,
    );
    this.initialReplicas ??= listedReplicas;
    if (demand.running > 0) {
      this.firstDemandAt ??= now;
    }
    this.samples.push({ needed: getNeededReplicas(demand, readRate), at: now });
    this.samples = this.samples.filter(({ at }) => now - at <= peakWindow);
    const needed = Math.ceil(Math.max(...this.samples.map((sample) => sample.needed)));
    const factor = limits.preemptiblePrice === undefined ? onDemandHeadroom : headroom;
    const isDemandKnown =
      this.firstDemandAt !== undefined && now - this.firstDemandAt > learningPeriod;
    const minWanted = isDemandKnown ? 0 : getReadyReplicas(this.initialReplicas, limits);
    const wanted = Math.max(minWanted, Math.ceil(needed * factor));
    const previous = this.wanted;
    this.wanted =
      previous !== undefined && wanted < previous && wanted > previous * (1 - minShrinkRatio)
        ? previous
        : wanted;
    return {
      min: Math.ceil(Math.min(this.initialReplicas, needed) * minReplicaRatio),
      initial: this.initialReplicas,
      wanted: this.wanted,
    };
  }

  private getOrder(
    { supply, limits, now }: ScalingInput,
    zone: string,
    replicaType: keyof ZoneTarget,
    count: number,
    wanted: number,
  ): PlannedOrder[] {
    const running = supply.get(zone)?.[replicaType] ?? 0;
    const reason = this.getReason(getKey(zone, replicaType), count, running, now, limits);
    const isPreemptible = replicaType === 'preemptible';
    return reason === undefined
      ? []
      : [
          {
            service: this.service,
            availabilityZone: zone,
            count,
            isPreemptible,
            reason,
            wanted,
            running,
          },
        ];
  }

  /** @returns undefined if no order is due */
  private getReason(
    key: string,
    count: number,
    running: number,
    now: Milliseconds,
    { bootTime }: ScalingLimits,
  ): OrderReason | undefined {
    const { listDelay, minOrderInterval } = defaultScalingOptions;
    const last = this.lastOrders.get(key);
    if (last === undefined) {
      return count === running ? undefined : OrderReason.Demand;
    }
    if (now - last.at < minOrderInterval) {
      return undefined;
    }
    if (count !== last.count) {
      return OrderReason.Demand;
    }
    if (count === running) {
      last.isListed = true;
      return undefined;
    }
    if (last.isListed) {
      return OrderReason.Lost;
    }
    return now - last.at > bootTime + listDelay ? OrderReason.NotListed : undefined;
  }
}
