import type { ByZone, ScalingLimits, ZoneSupply, ZoneTarget } from './scalingTypes.js';

/** What a service needs in all its availability zones together. */
export interface ScalingNeed {
  /** Replicas with which all is served, if late: never fewer, of whichever sort. */
  least: number;
  /** Replicas that there were at the start. */
  usual: number;
  /** Replicas that serve the demand in time, bursts and losses included. */
  wanted: number;
}

/** Zones by price, the cheapest first. */
function getZones({ zonePrices }: ScalingLimits): string[] {
  return Object.entries(zonePrices)
    .sort(([, left], [, right]) => left - right)
    .map(([zone]) => zone);
}

/** Part of a zone that is given up at a time where all are full, to make room for cheaper replicas. */
const REPLACED_PART = 0.25;

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}

/** Splits a number evenly; what is left over goes to the first of the zones. */
function split(total: number, zones: readonly string[]): Map<string, number> {
  const each = Math.floor(total / zones.length);
  const rest = total - each * zones.length;
  return new Map(zones.map((zone, index) => [zone, each + (index < rest ? 1 : 0)]));
}

function getSize({ onDemand, preemptible }: ZoneSupply): number {
  return onDemand + preemptible;
}

function sum(supply: ByZone<ZoneSupply>, sort: keyof ZoneSupply): number {
  return [...supply.values()].reduce((total, zone) => total + zone[sort], 0);
}

/** Takes away the dearest replicas first, and adds the cheapest first. */
function shiftOnDemand(
  supply: ByZone<ZoneSupply>,
  zones: readonly string[],
  change: number,
  { mostPerZone }: ScalingLimits,
): Map<string, number> {
  const counts = new Map(zones.map((zone) => [zone, supply.get(zone)?.onDemand ?? 0]));
  let left = Math.abs(change);
  while (left > 0) {
    const zone =
      change < 0
        ? zones.findLast((one) => counts.get(one)! > 0)
        : [...zones]
            .filter((one) => counts.get(one)! < mostPerZone)
            .sort((one, other) => counts.get(one)! - counts.get(other)!)[0];
    if (zone === undefined) {
      break;
    }
    counts.set(zone, counts.get(zone)! + Math.sign(change));
    left -= 1;
  }
  return counts;
}

/** Without preemptible replicas, those on demand are spread over all zones. */
function getOnDemandTargets(wanted: number, limits: ScalingLimits): Map<string, ZoneTarget> {
  const { leastPerZone, mostPerZone } = limits;
  const shares = split(wanted, getZones(limits));
  return new Map(
    [...shares].map(([zone, count]) => [
      zone,
      { onDemand: clamp(count, leastPerZone, mostPerZone), preemptible: 0 },
    ]),
  );
}

/**
 * How many replicas of each sort each zone is to have.
 *
 * Load pattern: bursts of three times the usual load that are over before a replica has booted, beside
 * preemptible replicas at a fifth of the price, all of which may be taken away in one zone at two
 * seconds' notice. They are spread evenly over the zones, so that a zone's loss is within what is kept
 * ready. Replicas on demand go once preemptible ones have taken their place, and come only where so
 * few preemptible ones are left that requests would not be served at all.
 */
export function getTargets(
  { least, usual, wanted }: ScalingNeed,
  supply: ByZone<ZoneSupply>,
  limits: ScalingLimits,
): Map<string, ZoneTarget> {
  const { leastPerZone, mostPerZone, preemptiblePrice } = limits;
  const zones = getZones(limits);
  const total = clamp(wanted, leastPerZone * zones.length, mostPerZone * zones.length);
  if (preemptiblePrice === undefined || preemptiblePrice >= 1 || zones.length < 2) {
    return getOnDemandTargets(total, limits);
  }
  const preemptible = sum(supply, 'preemptible');
  const onDemand = sum(supply, 'onDemand');
  const missing = clamp(onDemand, least - preemptible, Math.min(usual, total) - preemptible);
  const kept = shiftOnDemand(supply, zones, Math.max(0, missing) - onDemand, limits);
  const shares = split(total, zones);
  const isFull = [...supply.values()].every((zone) => getSize(zone) >= mostPerZone);
  const isStuck = isFull && missing >= onDemand;
  const given = Math.ceil(mostPerZone * REPLACED_PART);
  return new Map(
    zones.map((zone) => {
      const running = supply.get(zone)?.onDemand ?? 0;
      const most = isStuck ? Math.max(0, running - given) : mostPerZone;
      const target = Math.min(kept.get(zone)!, most);
      const room = Math.max(0, mostPerZone - Math.max(target, running));
      return [zone, { onDemand: target, preemptible: Math.min(room, shares.get(zone)!) }];
    }),
  );
}
