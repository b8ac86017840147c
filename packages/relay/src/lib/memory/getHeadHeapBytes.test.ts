import { getHeadHeapBytes } from './getHeadHeapBytes.js';
import { memoryOptions } from './memoryOptions.js';

const { headFieldBytes } = memoryOptions;

describe('getHeadHeapBytes', () => {
  // Guards against heads of many short fields, which take many times their length.
  it('counts each field besides its characters', () => {
    expect(getHeadHeapBytes({ url: '/a', rawHeaders: [] })).toBe(2);
    expect(getHeadHeapBytes({ url: '/a', rawHeaders: ['X', 'abc', 'Y', ''] })).toBe(
      7 + 2 * headFieldBytes,
    );
  });
});
