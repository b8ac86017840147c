import { createReplica } from '../../../test/fixtures.js';
import { EngineStatistics } from '../PrefillEstimator/EngineStatistics.js';
import { placementOptions } from '../placementOptions.js';
import { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { getReplicaGroups, replicaGroupOptions } from './getReplicaGroups.js';

const STATISTICS = new EngineStatistics();

function createStates(count: number, zones: number): ReplicaState[] {
  return Array.from({ length: count }, (_item, index) => {
    const availabilityZone = `z${index % zones}`;
    const replica = createReplica(`e-${index}`, { availabilityZone });
    return new ReplicaState(replica, placementOptions, STATISTICS);
  });
}

function getSizes(states: ReplicaState[]): number[] {
  return getReplicaGroups('llm', states).map(({ replicas }) => replicas.length);
}

describe('getReplicaGroups', () => {
  it('creates a group per availability zone if the zones have enough replicas', () => {
    const groups = getReplicaGroups('llm', createStates(40, 4));
    expect(groups.map(({ name }) => name)).toEqual(['llm/z0', 'llm/z1', 'llm/z2', 'llm/z3']);
    groups.forEach(({ replicas }) => {
      const zones = new Set(replicas.map(({ replica }) => replica.availabilityZone));
      expect(zones.size).toBe(1);
    });
  });

  it('creates a single group of few replicas, whatever their zones', () => {
    expect(getSizes(createStates(4, 4))).toEqual([4]);
    expect(getSizes(createStates(0, 1))).toEqual([]);
  });

  it('divides replicas that are too many for one daemon, each into one group', () => {
    const sizes = getSizes(createStates(6_900, 16));
    expect(sizes.reduce((sum, size) => sum + size, 0)).toBe(6_900);
    // Hashing makes some groups larger than the target size, but none twice as large.
    expect(Math.max(...sizes)).toBeLessThan(replicaGroupOptions.targetSize * 2);
  });

  it('moves no replica to another group when one is added', () => {
    const states = createStates(50, 1);
    const getGroupNames = (list: ReplicaState[]) =>
      new Map(
        getReplicaGroups('llm', list).flatMap(({ name, replicas }) =>
          replicas.map(({ replica }) => [replica.id, name] as const),
        ),
      );
    const before = getGroupNames(states);
    const after = getGroupNames([...states, ...createStates(51, 1).slice(50)]);
    const moved = [...before].filter(([id, name]) => after.get(id) !== name);
    expect(moved.length).toBe(0);
  });
});
