import type { ZoneMap, ScalingLimits, ZoneSupply, ZoneTarget } from './scalingTypes.js';

/** The replicas that a service needs in all its availability zones together. */
export interface ScalingRequirement {
  /** Minimum of either type with which every request is still served, though possibly late. */
  min: number;
  /** Replicas that were listed at the start. */
  initial: number;
  /** Replicas that serve the demand in time, including bursts and lost replicas. */
  wanted: number;
}

/** Returns the availability zones, the cheapest first. */
function getZonesByPrice({ zonePrices }: ScalingLimits): string[] {
  return Object.entries(zonePrices)
    .sort(([, left], [, right]) => left - right)
    .map(([zone]) => zone);
}

/**
 * Fraction of a zone's replicas that is given up at a time when all zones are full, to make room
 * for cheaper replicas.
 */
const REPLACED_FRACTION = 0.25;

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Splits a number evenly over the zones; the first zones get the remainder. */
function splitEvenly(total: number, zones: readonly string[]): Map<string, number> {
  const perZone = Math.floor(total / zones.length);
  const remainder = total - perZone * zones.length;
  return new Map(zones.map((zone, index) => [zone, perZone + (index < remainder ? 1 : 0)]));
}

function getReplicaCount({ onDemand, preemptible }: ZoneSupply): number {
  return onDemand + preemptible;
}

function sumSupply(supply: ZoneMap<ZoneSupply>, replicaType: keyof ZoneSupply): number {
  return [...supply.values()].reduce((total, zone) => total + zone[replicaType], 0);
}

/**
 * Changes the number of on-demand replicas. Removes them from the most expensive zones first, and
 * adds them to the zone that has the fewest, the cheapest of several.
 */
function changeOnDemand(
  supply: ZoneMap<ZoneSupply>,
  zones: readonly string[],
  change: number,
  { maxPerZone }: ScalingLimits,
): Map<string, number> {
  const counts = new Map(zones.map((zone) => [zone, supply.get(zone)?.onDemand ?? 0]));
  let remaining = Math.abs(change);
  while (remaining > 0) {
    const zone =
      change < 0
        ? zones.findLast((candidate) => counts.get(candidate)! > 0)
        : [...zones]
            .filter((candidate) => counts.get(candidate)! < maxPerZone)
            .sort((candidate, other) => counts.get(candidate)! - counts.get(other)!)[0];
    if (zone === undefined) {
      break;
    }
    counts.set(zone, counts.get(zone)! + Math.sign(change));
    remaining -= 1;
  }
  return counts;
}

/** Spreads on-demand replicas over all zones, for services without preemptible replicas. */
function getOnDemandTargets(wanted: number, limits: ScalingLimits): Map<string, ZoneTarget> {
  const { minPerZone, maxPerZone } = limits;
  const shares = splitEvenly(wanted, getZonesByPrice(limits));
  return new Map(
    [...shares].map(([zone, count]) => [
      zone,
      { onDemand: clamp(count, minPerZone, maxPerZone), preemptible: 0 },
    ]),
  );
}

/**
 * Returns the target number of replicas of each type for each zone.
 *
 * Bursts of three times the usual load end before a new replica has booted, so spare replicas must
 * be running already. Preemptible replicas cost a fifth of the price, but all of those in one zone
 * may be reclaimed at two seconds' notice. They are spread evenly over the zones, so that the spare
 * replicas cover the loss of a zone. On-demand replicas are removed once preemptible ones have
 * replaced them, and are added only if so few preemptible replicas are left that requests would not
 * be served at all.
 */
export function getTargets(
  { min, initial, wanted }: ScalingRequirement,
  supply: ZoneMap<ZoneSupply>,
  limits: ScalingLimits,
): Map<string, ZoneTarget> {
  const { minPerZone, maxPerZone, preemptiblePrice } = limits;
  const zones = getZonesByPrice(limits);
  const total = clamp(wanted, minPerZone * zones.length, maxPerZone * zones.length);
  if (preemptiblePrice === undefined || preemptiblePrice >= 1 || zones.length < 2) {
    return getOnDemandTargets(total, limits);
  }
  const preemptible = sumSupply(supply, 'preemptible');
  const onDemand = sumSupply(supply, 'onDemand');
  const onDemandTarget = clamp(onDemand, min - preemptible, Math.min(initial, total) - preemptible);
  const onDemandByZone = changeOnDemand(
    supply,
    zones,
    Math.max(0, onDemandTarget) - onDemand,
    limits,
  );
  const shares = splitEvenly(total, zones);
  const areAllZonesFull = [...supply.values()].every((zone) => getReplicaCount(zone) >= maxPerZone);
  const mustFreeRoom = areAllZonesFull && onDemandTarget >= onDemand;
  const freedPerZone = Math.ceil(maxPerZone * REPLACED_FRACTION);
  return new Map(
    zones.map((zone) => {
      const listed = supply.get(zone)?.onDemand ?? 0;
      const maxOnDemand = mustFreeRoom ? Math.max(0, listed - freedPerZone) : maxPerZone;
      const target = Math.min(onDemandByZone.get(zone)!, maxOnDemand);
      const room = Math.max(0, maxPerZone - Math.max(target, listed));
      return [zone, { onDemand: target, preemptible: Math.min(room, shares.get(zone)!) }];
    }),
  );
}
