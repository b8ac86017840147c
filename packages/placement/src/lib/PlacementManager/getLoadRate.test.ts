import { createConfiguration } from '../../test/PlacementWorld.js';
import { getLoadRate } from './getLoadRate.js';

describe('getLoadRate', () => {
  it('deals the whole rate out, and something to the smallest service', () => {
    const configuration = createConfiguration({ 'a-1': [], 'a-2': [], 'a-3': [], 'b-1': [] });
    expect(getLoadRate(configuration, 'a', 2)).toBe(1.25);
    expect(getLoadRate(configuration, 'b', 2)).toBe(0.75);
  });
});
