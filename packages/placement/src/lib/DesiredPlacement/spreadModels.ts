import { getRendezvousScore } from '@apricotrill/utils';
import type { Replica } from '@apricotrill/model';
import type { PlacementOptions } from '../placementOptions.js';

/** A service's models and its replicas. */
interface SpreadInput {
  /** In the operators' order: extra copies go to the first models. */
  models: readonly string[];
  manualReplicas: readonly Replica[];
  automaticReplicas: readonly Replica[];
}

type SpreadOptions = Pick<PlacementOptions, 'copies' | 'modelsPerReplica'>;

/** Replicas of one availability zone that may get the model, the preferred one last. */
interface ZoneCandidates {
  zone: string;
  copies: number;
  replicas: Replica[];
}

/** The total number of copies for each model, in the order of the models. */
function getCopyCounts(input: SpreadInput, options: SpreadOptions): number[] {
  const totalPlaces = input.automaticReplicas.length * options.modelsPerReplica;
  const copiesPerModel = Math.floor(totalPlaces / input.models.length);
  const remainder = totalPlaces % input.models.length;
  return input.models.map((_, index) => {
    const share = copiesPerModel + (index < remainder ? 1 : 0);
    return Math.min(input.automaticReplicas.length, Math.max(options.copies, share));
  });
}

function getZoneCandidates(model: string, input: SpreadInput): ZoneCandidates[] {
  const zones = new Map<string, ZoneCandidates>();
  const scored = input.automaticReplicas.map((replica) => ({
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
  input.manualReplicas
    .filter(({ placement }) => placement.includes(model))
    .forEach(({ availabilityZone }) => {
      const entry = zones.get(availabilityZone);
      if (entry !== undefined) {
        entry.copies += 1;
      }
    });
  return [...zones.values()].sort((left, right) => (left.zone < right.zone ? -1 : 1));
}

/** The zone with the fewest copies that still has a candidate replica. */
function getZoneWithFewestCopies(zones: readonly ZoneCandidates[]): ZoneCandidates | undefined {
  const availableZones = zones.filter(({ replicas }) => replicas.length > 0);
  return availableZones.reduce<ZoneCandidates | undefined>(
    (best, zone) => (best === undefined || zone.copies < best.copies ? zone : best),
    undefined,
  );
}

/** Places models one at a time, keeping replicas within their capacity where possible. */
class ModelSpread {
  readonly modelsByReplica = new Map<string, string[]>();

  constructor(
    private readonly input: SpreadInput,
    private readonly capacity: number,
  ) {}

  place(model: string, copyCount: number): void {
    const zones = getZoneCandidates(model, this.input);
    const fullReplicas: Replica[] = [];
    let remaining = copyCount;
    while (remaining > 0) {
      const zone = getZoneWithFewestCopies(zones);
      const replica = zone?.replicas.pop() ?? this.popReplicaWithFewestModels(fullReplicas);
      if (replica === undefined) {
        return;
      }
      if (zone !== undefined && this.getModels(replica).length >= this.capacity) {
        fullReplicas.push(replica);
      } else {
        this.modelsByReplica.set(replica.id, [...this.getModels(replica), model]);
        remaining -= 1;
        if (zone !== undefined) {
          zone.copies += 1;
        }
      }
    }
  }

  private getModels(replica: Replica): string[] {
    return this.modelsByReplica.get(replica.id) ?? [];
  }

  /** When every candidate is full, exceeding a replica's capacity is better than a missing copy. */
  private popReplicaWithFewestModels(fullReplicas: Replica[]): Replica | undefined {
    fullReplicas.sort((left, right) => this.getModels(right).length - this.getModels(left).length);
    return fullReplicas.pop();
  }
}

/**
 * Spreads a service's models over its replicas without a `placement` list. Copies of a model are
 * distributed over as many availability zones as possible, and replicas are chosen by rendezvous
 * hashing, so that adding or removing a replica moves few models.
 *
 * @returns model names by replica id
 * @internal
 */
export function spreadModels(input: SpreadInput, options: SpreadOptions): Map<string, string[]> {
  if (input.models.length === 0 || input.automaticReplicas.length === 0) {
    return new Map();
  }
  const copyCounts = getCopyCounts(input, options);
  const total = copyCounts.reduce((sum, count) => sum + count, 0);
  const capacity = Math.max(
    options.modelsPerReplica,
    Math.ceil(total / input.automaticReplicas.length),
  );
  const spread = new ModelSpread(input, capacity);
  input.models.forEach((model, index) => {
    const manualCopies = input.manualReplicas.filter(({ placement }) => placement.includes(model));
    spread.place(model, copyCounts[index]! - manualCopies.length);
  });
  return spread.modelsByReplica;
}
