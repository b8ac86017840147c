import { Fleet } from './Fleet.js';

const DAEMONS = Array.from({ length: 40 }, (_item, index) => `d-${index}`);

const GROUPS = Array.from({ length: 400 }, (_item, index) => `llm/${index}`);

/** Every fourth daemon has an instance of eight times the size. */
function getCapacity(daemon: string): number {
  return Number(daemon.slice(2)) % 4 === 0 ? 32 : 4;
}

const CAPACITIES = new Map(DAEMONS.map((daemon) => [daemon, getCapacity(daemon)]));

function createFleet(capacities: ReadonlyMap<string, number | undefined>, usesCapacities = true) {
  const fleet = new Fleet(() => usesCapacities);
  fleet.update('d-1', DAEMONS, capacities);
  return fleet;
}

function getAllPlacers(fleet: Fleet) {
  return GROUPS.map((group) => fleet.getPlacers(group));
}

describe('the placers of a fleet', () => {
  it('are the same with equal capacities, with none, and where capacities are not used', () => {
    const without = getAllPlacers(createFleet(new Map()));
    const equal = new Map(DAEMONS.map((daemon) => [daemon, 7]));
    expect(getAllPlacers(createFleet(equal))).toEqual(without);
    expect(getAllPlacers(createFleet(CAPACITIES, false))).toEqual(without);
  });

  it('are mostly daemons on large instances, in proportion to their capacity', () => {
    const firsts = getAllPlacers(createFleet(CAPACITIES)).map(([first]) => first!);
    const large = firsts.filter((daemon) => getCapacity(daemon) === 32);
    // Ten of 32 and thirty of 4 make 320 of 440.
    expect(large.length / firsts.length).toBeGreaterThan(0.66);
    expect(large.length / firsts.length).toBeLessThan(0.8);
  });

  // Guards against a fleet that disagrees about all groups while one datagram with a capacity is lost.
  it('differ only where a daemon takes part whose capacity is unknown', () => {
    const partial = new Map([...CAPACITIES, ['d-8', undefined]]);
    const before = getAllPlacers(createFleet(CAPACITIES));
    const after = getAllPlacers(createFleet(partial));
    const changed = before.filter((placers, index) => placers.join() !== after[index]!.join());
    expect(changed.length).toBeGreaterThan(0);
    expect(changed.every((placers) => placers.includes('d-8'))).toBe(true);
    expect(changed.length / GROUPS.length).toBeLessThan(0.2);
  });

  it('change for a group when its service comes under admission control', () => {
    const controlled = new Set<string>();
    const fleet = new Fleet((group) => controlled.has(group));
    fleet.update('d-1', DAEMONS, CAPACITIES);
    const before = getAllPlacers(fleet);
    GROUPS.forEach((group) => controlled.add(group));
    expect(getAllPlacers(fleet)).toEqual(getAllPlacers(createFleet(CAPACITIES)));
    controlled.clear();
    expect(getAllPlacers(fleet)).toEqual(before);
  });
});
