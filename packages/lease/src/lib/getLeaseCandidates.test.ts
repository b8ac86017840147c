import { getLeaseCandidates } from './getLeaseCandidates.js';

const ZONES = ['a', 'b', 'c', 'd'];

const MEMBERS = Array.from({ length: 40 }, (_item, index) => ({
  id: `d-${index}`,
  availabilityZone: ZONES[index % ZONES.length]!,
}));

function getZone(id: string): string {
  return MEMBERS.find((member) => member.id === id)!.availabilityZone;
}

describe('getLeaseCandidates', () => {
  // Guards against a lease without candidates after the loss of one availability zone.
  it('selects daemons in different availability zones', () => {
    const candidates = getLeaseCandidates('duties', MEMBERS, 3);
    expect(new Set(candidates.map(getZone)).size).toBe(3);
  });

  it('selects several daemons of one zone if there is no other', () => {
    const alone = MEMBERS.filter(({ availabilityZone }) => availabilityZone === 'a');
    expect(getLeaseCandidates('duties', alone, 3)).toHaveLength(3);
  });

  it('keeps the remaining candidates when one leaves', () => {
    const [first, ...others] = getLeaseCandidates('duties', MEMBERS, 3);
    const rest = MEMBERS.filter(({ id }) => id !== first);
    expect(getLeaseCandidates('duties', rest, 4)).toEqual(expect.arrayContaining(others));
  });
});
