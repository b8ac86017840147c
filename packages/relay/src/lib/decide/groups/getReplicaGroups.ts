import { getRendezvousOrder } from '@apricotrill/utils';
import type { ReplicaState } from '../ReplicaState/ReplicaState.js';

/** The replicas of one service for which one daemon chooses. */
export interface ReplicaGroup {
  /** The same at all daemons that see the same replicas. */
  name: string;
  replicas: readonly ReplicaState[];
}

/** How the replicas of a service are divided into groups. */
export const groupOptions = {
  /**
   * One daemon chooses for so many replicas at most. At 10 requests a second for each, some 160 a
   * second, of which each takes a placer about 0.2 ms.
   */
  most: 16,
  /** Availability zones with fewer replicas on average have no groups of their own. */
  leastPerZone: 4,
};

function groupByZone(replicas: readonly ReplicaState[]): Map<string, ReplicaState[]> {
  const zones = new Map<string, ReplicaState[]>();
  replicas.forEach((state) => {
    const zone = state.replica.availabilityZone;
    zones.set(zone, [...(zones.get(zone) ?? []), state]);
  });
  return zones;
}

/** Cuts a list into as few parts as the bound allows; one that is added or gone moves few others. */
function split(name: string, replicas: readonly ReplicaState[]): ReplicaGroup[] {
  const count = Math.ceil(replicas.length / groupOptions.most);
  if (count <= 1) {
    return [{ name, replicas }];
  }
  const names = Array.from({ length: count }, (_item, index) => `${name}/${index}`);
  const nameOf = new Map(
    replicas.map((state) => [state, getRendezvousOrder(state.replica.name, names)[0]]),
  );
  return names.map((part) => ({
    name: part,
    replicas: replicas.filter((state) => nameOf.get(state) === part),
  }));
}

/**
 * Divides the replicas of a service into groups, by availability zone where each has enough: copies
 * of prompts stay within a zone, and so does what its loss takes away.
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
  if (replicas.length < zones.size * groupOptions.leastPerZone) {
    return split(service, replicas);
  }
  return [...zones].flatMap(([zone, states]) => split(`${service}/${zone}`, states));
}
