import { getRendezvousOrder } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

/** Replicas of one service that share a placer. */
export interface ReplicaGroup {
  /** Identical on all daemons that see the same replicas. */
  name: string;
  replicas: readonly ReplicaState[];
}

/** Options for dividing the replicas of a service into groups. */
export const replicaGroupOptions = {
  /**
   * Target size of a group. At 10 requests per second and replica, the placer of a full group
   * handles 160 queries per second, which take about 0.2 ms each.
   */
  targetSize: 16,
  /** With fewer replicas per availability zone on average, zones have no groups of their own. */
  minPerZone: 4,
};

function groupByZone(replicas: readonly ReplicaState[]): Map<string, ReplicaState[]> {
  const zones = new Map<string, ReplicaState[]>();
  replicas.forEach((state) => {
    const zone = state.replica.availabilityZone;
    zones.set(zone, [...(zones.get(zone) ?? []), state]);
  });
  return zones;
}

/**
 * Divides replicas into as few groups as their size allows, by rendezvous hashing, so that an added
 * or removed replica moves few others.
 */
function splitGroup(name: string, replicas: readonly ReplicaState[]): ReplicaGroup[] {
  const count = Math.ceil(replicas.length / replicaGroupOptions.targetSize);
  if (count <= 1) {
    return [{ name, replicas }];
  }
  const names = Array.from({ length: count }, (_item, index) => `${name}/${index}`);
  const groupNames = new Map(
    replicas.map((state) => [state, getRendezvousOrder(state.replica.name, names)[0]]),
  );
  return names.map((groupName) => ({
    name: groupName,
    replicas: replicas.filter((state) => groupNames.get(state) === groupName),
  }));
}

/**
 * Divides the replicas of a service into groups, by availability zone if the zones have enough
 * replicas. Prompts are then copied within a zone, and the loss of a zone affects no other group.
 *
 * @example
 * ```ts
 * getReplicaGroups('llm', states).map(({ name }) => name); // ['llm/zone-a', 'llm/zone-b']
 * ```
 */
export function getReplicaGroups(
  service: string,
  replicas: readonly ReplicaState[],
): ReplicaGroup[] {
  const zones = groupByZone(replicas);
  if (replicas.length < zones.size * replicaGroupOptions.minPerZone) {
    return splitGroup(service, replicas);
  }
  return [...zones].flatMap(([zone, states]) => splitGroup(`${service}/${zone}`, states));
}
