import { getAffordableSizes } from './getAffordableSizes.js';

const GIBIBYTE = 2 ** 30;

describe('getAffordableSizes', () => {
  it('leaves sizes that fit, and cuts those that do not', () => {
    expect(getAffordableSizes([48, 3, 9], 32 * GIBIBYTE)).toEqual([3, 9, 48]);
    expect(getAffordableSizes([3, 48, 96], 8 * GIBIBYTE)).toEqual([3, 32]);
  });
});
