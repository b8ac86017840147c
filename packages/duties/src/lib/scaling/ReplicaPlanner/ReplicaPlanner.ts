import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaOrder } from '../../DutyPlatform.js';
import { getTargets } from '../getTargets.js';
import type { ScalingNeed } from '../getTargets.js';
import { scalingOptions } from '../scalingOptions.js';
import type {
  ByZone,
  ScalingLimits,
  ServiceDemand,
  ZoneSupply,
  ZoneTarget,
} from '../scalingTypes.js';

/** Why replicas are ordered. */
export enum OrderReason {
  /** The demand, or what carries it, has changed. */
  Demand = 'demand',
  /** Replicas that were there are gone. */
  Lost = 'lost',
  /** The list does not show what was ordered. */
  NotListed = 'not-listed',
}

/** An order that is due, with what it rests on. */
export interface PlannedOrder extends ReplicaOrder {
  reason: OrderReason;
  /** Replicas that are wanted in all zones together. */
  wanted: number;
  /** Replicas of that sort that are listed in the zone. */
  running: number;
}

/** What a plan is made from. */
export interface ScalingSituation {
  limits: ScalingLimits;
  /** By availability zone. */
  supply: ByZone<ZoneSupply>;
  demand: ServiceDemand;
  /** Prompt tokens that one engine reads in a millisecond. */
  readRate: number;
  now: Milliseconds;
}

/** The last order for one sort of replicas in one zone. */
interface OpenOrder {
  count: number;
  at: Milliseconds;
  /** Whether the list has shown it since. */
  isListed: boolean;
}

interface Sample {
  needed: number;
  at: Milliseconds;
}

const MILLISECONDS_PER_SECOND = 1_000;

const SORTS = ['preemptible', 'onDemand'] as const;

function getKey(zone: string, sort: keyof ZoneTarget): string {
  return `${zone}/${sort}`;
}

/** Replicas that carry a demand, if reading and running were spread evenly over them. */
function getNeeded({ tokensPerSecond, running }: ServiceDemand, readRate: number): number {
  const { readingUse, runningPerReplica } = scalingOptions;
  const reading = tokensPerSecond / (readRate * MILLISECONDS_PER_SECOND);
  return reading / readingUse + running / runningPerReplica;
}

/** Replicas that are kept ready while the demand is not known. */
function getReady(initial: number, { preemptiblePrice }: ScalingLimits): number {
  const factor = preemptiblePrice === undefined ? 1 : scalingOptions.readyPart / preemptiblePrice;
  return Math.ceil(initial * Math.max(1, factor));
}

/**
 * Decides which replicas of one service to order, from the demand, the list and earlier orders; no
 * I/O.
 *
 * @example
 * ```ts
 * const [order] = planner.plan({ limits, supply, demand, readRate, now });
 * ```
 * @internal
 */
export class ReplicaPlanner {
  private readonly orders = new Map<string, OpenOrder>();

  private samples: Sample[] = [];

  /** Replicas that were there when this planner began. */
  private initial: number | undefined;

  /** Since when there has been demand. */
  private demandSince: Milliseconds | undefined;

  private wanted: number | undefined;

  constructor(private readonly service: string) {}

  /** Takes note of the demand and returns the orders that are due. */
  plan(situation: ScalingSituation): PlannedOrder[] {
    const need = this.getNeed(situation);
    const targets = getTargets(need, situation.supply, situation.limits);
    return [...targets].flatMap(([zone, target]) =>
      SORTS.flatMap((sort) => this.getOrder(situation, zone, sort, target[sort], need.wanted)),
    );
  }

  /** An order was accepted, or may have been. */
  noteOrdered({ availabilityZone, isPreemptible, count }: ReplicaOrder, now: Milliseconds): void {
    const key = getKey(availabilityZone, isPreemptible ? 'preemptible' : 'onDemand');
    this.orders.set(key, { count, at: now, isListed: false });
  }

  private getNeed({ demand, limits, now, readRate, supply }: ScalingSituation): ScalingNeed {
    const { headroom, learnSpan, leastPart, onDemandHeadroom, peakSpan, shrinkBy } = scalingOptions;
    const listed = [...supply.values()].reduce(
      (total, { onDemand, preemptible }) => total + onDemand + preemptible,
      0,
    );
    this.initial ??= listed;
    if (demand.running > 0) {
      this.demandSince ??= now;
    }
    this.samples.push({ needed: getNeeded(demand, readRate), at: now });
    this.samples = this.samples.filter(({ at }) => now - at <= peakSpan);
    const needed = Math.ceil(Math.max(...this.samples.map((sample) => sample.needed)));
    const factor = limits.preemptiblePrice === undefined ? onDemandHeadroom : headroom;
    const isLearned = this.demandSince !== undefined && now - this.demandSince > learnSpan;
    const least = isLearned ? 0 : getReady(this.initial, limits);
    const wanted = Math.max(least, Math.ceil(needed * factor));
    const last = this.wanted;
    this.wanted =
      last !== undefined && wanted < last && wanted > last * (1 - shrinkBy) ? last : wanted;
    return {
      least: Math.ceil(Math.min(this.initial, needed) * leastPart),
      usual: this.initial,
      wanted: this.wanted,
    };
  }

  private getOrder(
    { supply, limits, now }: ScalingSituation,
    zone: string,
    sort: keyof ZoneTarget,
    count: number,
    wanted: number,
  ): PlannedOrder[] {
    const running = supply.get(zone)?.[sort] ?? 0;
    const reason = this.getReason(getKey(zone, sort), count, running, now, limits);
    const isPreemptible = sort === 'preemptible';
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

  /** @returns undefined where nothing need be ordered */
  private getReason(
    key: string,
    count: number,
    running: number,
    now: Milliseconds,
    { bootTime }: ScalingLimits,
  ): OrderReason | undefined {
    const { listLag, repeatAfter } = scalingOptions;
    const last = this.orders.get(key);
    if (last === undefined) {
      return count === running ? undefined : OrderReason.Demand;
    }
    if (now - last.at < repeatAfter) {
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
    return now - last.at > bootTime + listLag ? OrderReason.NotListed : undefined;
  }
}
