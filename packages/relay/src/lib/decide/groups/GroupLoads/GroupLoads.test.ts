import { GroupLoads, groupLoadOptions } from './GroupLoads.js';

const PLACERS = ['placer', 'deputy'];

function createLoad(expectedWait: number) {
  return { group: 'llm/a', expectedWait, room: 4 };
}

describe('GroupLoads', () => {
  it('halves the weight of a load that is overdue with each half-life, and forgets it in the end', () => {
    const loads = new GroupLoads();
    loads.record('placer', createLoad(80), 1_000);
    const { interval, halfLife, maxAge } = groupLoadOptions;
    expect(loads.get('llm/a', PLACERS, 1_000)).toMatchObject({ expectedWait: 80, weight: 1 });
    expect(loads.get('llm/a', PLACERS, 1_000 + interval)?.weight).toBe(1);
    expect(loads.get('llm/a', PLACERS, 1_000 + interval + halfLife)).toMatchObject({
      age: interval + halfLife,
      weight: 1 / 2,
    });
    expect(loads.get('llm/a', PLACERS, 1_001 + maxAge)).toBeUndefined();
    expect(loads.get('llm/b', PLACERS, 1_000)).toBeUndefined();
  });

  // Guards against a deputy that saw few requests and announces that the group is idle.
  it('prefers what the first placer announced, even if the deputy announced later', () => {
    const loads = new GroupLoads();
    loads.record('placer', createLoad(80), 1_000);
    loads.record('deputy', createLoad(0), 1_500);
    loads.record('stranger', createLoad(7), 1_600);
    expect(loads.get('llm/a', PLACERS, 2_000)?.expectedWait).toBe(80);
  });

  it('takes the deputy when the placer is silent, and the newest when both are', () => {
    const loads = new GroupLoads();
    const { maxAge } = groupLoadOptions;
    loads.record('placer', createLoad(80), 0);
    loads.record('deputy', createLoad(30), maxAge);
    loads.record('stranger', createLoad(7), maxAge + 1);
    loads.record('other', createLoad(8), maxAge + 2);
    expect(loads.get('llm/a', PLACERS, maxAge + 3)?.expectedWait).toBe(30);
    expect(loads.get('llm/a', [], maxAge + 3)?.expectedWait).toBe(8);
  });

  // Guards against memory that grows with each change of the groups.
  it('forgets groups of which nothing is announced any more', () => {
    const loads = new GroupLoads();
    loads.record('placer', createLoad(80), 0);
    const later = groupLoadOptions.maxAge + 1;
    loads.record('placer', { ...createLoad(80), group: 'llm/b' }, later);
    expect(loads.size).toBe(1);
    expect(loads.isInUse).toBe(true);
  });
});
