import { chooseGroup, chooseNextGroup, groupChoiceOptions } from './chooseGroup.js';
import type { GroupChoiceInputs, GroupOption } from './chooseGroup.js';

const LATENCY_TARGET = 600;
const MAX_COST = LATENCY_TARGET * groupChoiceOptions.maxCostRatio;

const IDS = Array.from({ length: 2_000 }, (_item, index) => `r-${index}`);

function createOption(name: string, wait: number, room = 0, weight = 1): GroupOption {
  const load = { group: name, expectedWait: wait, room, age: 0, weight };
  return { name, load, crossingCost: 0, prefillTime: 0 };
}

function createInputs(parts: Partial<GroupChoiceInputs> = {}): GroupChoiceInputs {
  return {
    home: createOption('home', MAX_COST),
    others: [createOption('b', 0, 10), createOption('c', 0, 10)],
    requestId: 'r',
    session: 's',
    spread: 1,
    latencyTarget: LATENCY_TARGET,
    overflow: 1,
    ...parts,
  };
}

/** Returns the groups that requests with many IDs choose, with the number of requests of each. */
function countChoices(
  inputs: GroupChoiceInputs,
  getSession: (id: string) => string = () => inputs.session,
): Map<string, number> {
  const counts = new Map<string, number>();
  IDS.forEach((requestId) => {
    const { name } = chooseGroup({ ...inputs, requestId, session: getSession(requestId) });
    counts.set(name, (counts.get(name) ?? 0) + 1);
  });
  return counts;
}

function getAwayShare(inputs: GroupChoiceInputs): number {
  return 1 - (countChoices(inputs).get('home') ?? 0) / IDS.length;
}

describe('chooseGroup', () => {
  it('lets the overflow leave, and nothing without an overflow', () => {
    [0, 1 / 4, 3 / 4, 1].forEach((overflow) =>
      expect(getAwayShare(createInputs({ overflow }))).toBeCloseTo(overflow, 1),
    );
  });

  it('stays at home while the wait there costs less than the way and the prompt to prefill', () => {
    const at = (wait: number, prefillTime: number) => {
      const other = { ...createOption('b', 10, 10), crossingCost: 20, prefillTime };
      return createInputs({ home: createOption('home', wait), others: [other] });
    };
    expect(getAwayShare(at(MAX_COST, MAX_COST - 20))).toBe(0);
    expect(getAwayShare(at(MAX_COST + 20, MAX_COST - 20))).toBe(1);
    // The overflow would make the wait longer than it is now.
    expect(getAwayShare(at(0, MAX_COST - 40))).toBe(1);
  });

  it('stays at home while a load is unknown', () => {
    const unknown = { ...createOption('home', 0), load: undefined };
    expect(getAwayShare(createInputs({ home: unknown }))).toBe(0);
    expect(getAwayShare(createInputs({ others: [{ ...unknown, name: 'b' }] }))).toBe(0);
  });

  // Guards against requests that go elsewhere because of a wait that is long over.
  it('lets fewer requests leave as the load of the home group ages', () => {
    const home = createOption('home', MAX_COST, 0, 1 / 4);
    expect(getAwayShare(createInputs({ home }))).toBeCloseTo(1 / 4, 1);
  });

  // Load pattern: room in one place is announced to many daemons at the same time.
  it('divides sessions among groups in proportion to their room', () => {
    const others = [createOption('b', 0, 29), createOption('c', 0, 9)];
    const counts = countChoices(createInputs({ others }), (id) => `session-${id}`);
    expect(counts.get('b')! / counts.get('c')!).toBeGreaterThan(2.5);
    expect(counts.get('b')! / counts.get('c')!).toBeLessThan(3.6);
  });

  it('keeps a session in one other group, and spreads it over more if its demand is large', () => {
    const others = ['b', 'c', 'd', 'e'].map((name) => createOption(name, 0, 10));
    const getGroups = (spread: number) => countChoices(createInputs({ others, spread }));
    expect(getGroups(1).size).toBe(1);
    const two = getGroups(2);
    expect(two.size).toBe(2);
    [...two.values()].forEach((count) => expect(count / IDS.length).toBeCloseTo(1 / 2, 1));
    expect([...two.keys()]).toEqual(expect.arrayContaining([...getGroups(1).keys()]));
    expect(getGroups(9).size).toBe(4);
  });

  it('keeps most sessions where they are when the room of a group changes a little', () => {
    const getChoice = (room: number, id: string) => {
      const others = [createOption('b', 0, room), createOption('c', 0, 10)];
      return chooseGroup(createInputs({ others, requestId: id, session: id })).name;
    };
    const moved = IDS.filter((id) => getChoice(10, id) !== getChoice(12, id));
    expect(moved.length / IDS.length).toBeLessThan(0.06);
  });
});

describe('chooseNextGroup', () => {
  it('chooses a group that announces room, if the first token can be in time there', () => {
    const others = [
      createOption('full', 0, 0),
      createOption('aged', 0, 3, 1 / 4),
      createOption('late', 400, 9),
      { ...createOption('unread', 50, 9), prefillTime: 300 },
      createOption('b', 100, 2),
    ];
    expect(chooseNextGroup(createInputs({ others }), 300)?.name).toBe('b');
    expect(chooseNextGroup(createInputs({ others }), 90)).toBeUndefined();
    expect(chooseNextGroup(createInputs({ others: [] }), 300)).toBeUndefined();
  });
});
