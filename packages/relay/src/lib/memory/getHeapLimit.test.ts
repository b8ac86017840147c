import { getHeapLimit } from './getHeapLimit.js';
import { memoryOptions } from './memoryOptions.js';

const { youngHeapBytes } = memoryOptions;

describe('getHeapLimit', () => {
  it('leaves the space for new objects out', () => {
    expect(getHeapLimit(4 * youngHeapBytes)).toBe(3 * youngHeapBytes);
  });

  it('leaves half of a small heap', () => {
    expect(getHeapLimit(youngHeapBytes)).toBe(youngHeapBytes / 2);
  });
});
