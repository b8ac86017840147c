import { getPlacementCapacity } from './getPlacementCapacity.js';

describe('getPlacementCapacity', () => {
  it('is bounded by the scarcest resource', () => {
    expect(getPlacementCapacity({ cores: 0.32, bandwidth: 1_000 })).toBe(10);
    expect(getPlacementCapacity({ cores: 1, bandwidth: 9.2 })).toBe(8);
  });

  it('does not grow with cores that one thread cannot use, and is never 0', () => {
    const single = getPlacementCapacity({ cores: 1, bandwidth: 1_000 });
    expect(getPlacementCapacity({ cores: 8, bandwidth: 1_000 })).toBe(single);
    expect(getPlacementCapacity({ cores: 0.001, bandwidth: 1_000 })).toBeGreaterThan(0);
  });
});
