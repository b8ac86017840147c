import { createReplica } from '../../../test/fixtures.js';
import { EngineLessons } from '../PrefillEstimator/EngineStatistics.js';
import { placementOptions } from '../placementOptions.js';
import { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { getReplicaGroups, groupOptions } from './getReplicaGroups.js';

const LEARNED = new EngineLessons();

function createStates(count: number, zones: number): ReplicaState[] {
  return Array.from({ length: count }, (_item, index) => {
    const availabilityZone = `z${index % zones}`;
    const replica = createReplica(`e-${index}`, { availabilityZone });
    return new ReplicaState(replica, placementOptions, LEARNED);
  });
}

function getSizes(states: ReplicaState[]): number[] {
  return getReplicaGroups('llm', states).map(({ replicas }) => replicas.length);
}

describe('getReplicaGroups', () => {
  it('makes a group of each availability zone that has enough replicas', () => {
    const groups = getReplicaGroups('llm', createStates(40, 4));
    expect(groups.map(({ name }) => name)).toEqual(['llm/z0', 'llm/z1', 'llm/z2', 'llm/z3']);
    groups.forEach(({ replicas }) => {
      const zones = new Set(replicas.map(({ replica }) => replica.availabilityZone));
      expect(zones.size).toBe(1);
    });
  });

  it('makes one group of few replicas, whatever zones they are in', () => {
    expect(getSizes(createStates(4, 4))).toEqual([4]);
    expect(getSizes(createStates(0, 1))).toEqual([]);
  });

  it('cuts what is too much for one daemon, each replica in one group', () => {
    const sizes = getSizes(createStates(6_900, 16));
    expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(6_900);
    // Divided by hashing: some have more, none has twice as many.
    expect(Math.max(...sizes)).toBeLessThan(groupOptions.most * 2);
  });

  it('moves few replicas to another group when one comes', () => {
    const states = createStates(50, 1);
    const nameOf = (list: ReplicaState[]) =>
      new Map(
        getReplicaGroups('llm', list).flatMap(({ name, replicas }) =>
          replicas.map(({ replica }) => [replica.id, name] as const),
        ),
      );
    const before = nameOf(states);
    const after = nameOf([...states, ...createStates(51, 1).slice(50)]);
    const moved = [...before].filter(([id, name]) => after.get(id) !== name);
    expect(moved.length).toBe(0);
  });
});
