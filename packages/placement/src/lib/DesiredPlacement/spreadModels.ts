import { getRendezvousScore } from '@apricotrill/utils';
import type { Replica } from '@apricotrill/model';
import type { PlacementOptions } from '../placementOptions.js';

/** A service's models and replicas. */
interface SpreadInput {
  /** In the operators' order: the first get a spare copy first. */
  models: readonly string[];
  placedByHand: readonly Replica[];
  free: readonly Replica[];
}

type SpreadOptions = Pick<PlacementOptions, 'copies' | 'modelsPerReplica'>;

/** Replicas of one availability zone that don't have the model yet, the preferred last. */
interface ZoneCandidates {
  zone: string;
  copies: number;
  replicas: Replica[];
}

/** How many copies each model should get, in all. */
function getCopies(input: SpreadInput, options: SpreadOptions): number[] {
  const places = input.free.length * options.modelsPerReplica;
  const each = Math.floor(places / input.models.length);
  const spare = places % input.models.length;
  return input.models.map((_, index) => {
    const share = each + (index < spare ? 1 : 0);
    return Math.min(input.free.length, Math.max(options.copies, share));
  });
}

function getZones(model: string, input: SpreadInput): ZoneCandidates[] {
  const zones = new Map<string, ZoneCandidates>();
  const scored = input.free.map((replica) => ({
    replica,
    score: getRendezvousScore(model, replica.id),
  }));
  scored.sort((left, right) => left.score - right.score);
  scored.forEach(({ replica }) => {
    const zone = replica.availabilityZone;
    const entry = zones.get(zone) ?? { zone, copies: 0, replicas: [] };
    entry.replicas.push(replica);
    zones.set(zone, entry);
  });
  input.placedByHand
    .filter(({ placement }) => placement.includes(model))
    .forEach(({ availabilityZone }) => {
      const entry = zones.get(availabilityZone);
      if (entry !== undefined) {
        entry.copies += 1;
      }
    });
  return [...zones.values()].sort((left, right) => (left.zone < right.zone ? -1 : 1));
}

/** The zone with the fewest copies that still has a replica to offer. */
function getScarcestZone(zones: readonly ZoneCandidates[]): ZoneCandidates | undefined {
  const open = zones.filter(({ replicas }) => replicas.length > 0);
  return open.reduce<ZoneCandidates | undefined>(
    (best, zone) => (best === undefined || zone.copies < best.copies ? zone : best),
    undefined,
  );
}

/** Places models one after the other, keeping each replica within its capacity. */
class Spread {
  readonly placed = new Map<string, string[]>();

  constructor(
    private readonly input: SpreadInput,
    private readonly capacity: number,
  ) {}

  place(model: string, wanted: number): void {
    const zones = getZones(model, this.input);
    const full: Replica[] = [];
    let missing = wanted;
    while (missing > 0) {
      const zone = getScarcestZone(zones);
      const replica = zone?.replicas.pop() ?? this.takeLeastLoaded(full);
      if (replica === undefined) {
        return;
      }
      if (zone !== undefined && this.getNames(replica).length >= this.capacity) {
        full.push(replica);
      } else {
        this.placed.set(replica.id, [...this.getNames(replica), model]);
        missing -= 1;
        if (zone !== undefined) {
          zone.copies += 1;
        }
      }
    }
  }

  private getNames(replica: Replica): string[] {
    return this.placed.get(replica.id) ?? [];
  }

  /** When every replica without the model is full, a missing copy is worse than a crowded replica. */
  private takeLeastLoaded(full: Replica[]): Replica | undefined {
    full.sort((left, right) => this.getNames(right).length - this.getNames(left).length);
    return full.pop();
  }
}

/**
 * Spreads a service's models over the replicas that the register places nothing on: enough copies
 * of each, over as many availability zones as can be, by rendezvous hashing, so that a replica that
 * comes or goes moves little.
 *
 * @returns names by replica id
 * @internal
 */
export function getSpread(input: SpreadInput, options: SpreadOptions): Map<string, string[]> {
  if (input.models.length === 0 || input.free.length === 0) {
    return new Map();
  }
  const copies = getCopies(input, options);
  const total = copies.reduce((sum, count) => sum + count, 0);
  const capacity = Math.max(options.modelsPerReplica, Math.ceil(total / input.free.length));
  const spread = new Spread(input, capacity);
  input.models.forEach((model, index) => {
    const byHand = input.placedByHand.filter(({ placement }) => placement.includes(model));
    spread.place(model, copies[index]! - byHand.length);
  });
  return spread.placed;
}
