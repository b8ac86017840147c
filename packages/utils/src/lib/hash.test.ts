import { getRendezvousOrder, getWeightedRendezvousOrder } from './hash.js';

const CANDIDATES = Array.from({ length: 12 }, (_item, index) => `d-${index}`);
const KEYS = Array.from({ length: 6_000 }, (_item, index) => `key-${index}`);

/** Four weigh 4, four weigh 2 and four weigh 1. */
function getWeight(candidate: string): number {
  return [4, 2, 1][Number(candidate.slice(2)) % 3]!;
}

function getFirst(key: string, weigh: (candidate: string) => number): string {
  return getWeightedRendezvousOrder(key, CANDIDATES, weigh)[0]!;
}

describe('getWeightedRendezvousOrder', () => {
  it('orders as without weights if all weights are equal', () => {
    [1, 0.3, 42].forEach((weight) =>
      KEYS.slice(0, 1_000).forEach((key) =>
        expect(getWeightedRendezvousOrder(key, CANDIDATES, () => weight)).toEqual(
          getRendezvousOrder(key, CANDIDATES),
        ),
      ),
    );
  });

  it('gives each candidate a part of the keys in proportion to its weight', () => {
    const counts = new Map<string, number>();
    KEYS.forEach((key) => {
      const first = getFirst(key, getWeight);
      counts.set(first, (counts.get(first) ?? 0) + 1);
    });
    const totalWeight = CANDIDATES.reduce((sum, candidate) => sum + getWeight(candidate), 0);
    CANDIDATES.forEach((candidate) => {
      const expected = (KEYS.length * getWeight(candidate)) / totalWeight;
      // Five standard deviations of a count.
      expect(Math.abs(counts.get(candidate)! - expected)).toBeLessThan(5 * Math.sqrt(expected));
    });
  });

  it('moves keys only to a candidate whose weight grows', () => {
    const grown = (candidate: string) => (candidate === 'd-5' ? 3 : getWeight(candidate));
    const moved = KEYS.filter((key) => getFirst(key, getWeight) !== getFirst(key, grown));
    expect(moved.length).toBeGreaterThan(0);
    expect(new Set(moved.map((key) => getFirst(key, grown)))).toEqual(new Set(['d-5']));
  });

  it('moves only the keys of a candidate that leaves', () => {
    const rest = CANDIDATES.filter((candidate) => candidate !== 'd-0');
    KEYS.forEach((key) => {
      const [first, second] = getWeightedRendezvousOrder(key, CANDIDATES, getWeight);
      const after = getWeightedRendezvousOrder(key, rest, getWeight)[0];
      expect(after).toBe(first === 'd-0' ? second : first);
    });
  });
});
