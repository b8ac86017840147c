import { createConfiguration } from '../../test/PlacementHarness.js';
import { getLoadRates } from './getLoadRates.js';

describe('getLoadRates', () => {
  it('divides the whole rate, with a share even for the smallest service', () => {
    const configuration = createConfiguration({ 'a-1': [], 'a-2': [], 'a-3': [], 'b-1': [] });
    const rates = getLoadRates(configuration, 2);
    expect([...rates]).toEqual([
      ['a', 1.25],
      ['b', 0.75],
    ]);
  });
});
