import { getMaxTextBytes } from './getMaxTextBytes.js';

const MEBIBYTE = 1_048_576;

describe('getMaxTextBytes', () => {
  // Guards against a text that fills the heap as it is parsed.
  it('leaves a third of the heap free for texts that take sixteen times their size', () => {
    expect(getMaxTextBytes(120 * MEBIBYTE)).toBe(5 * MEBIBYTE);
  });

  it('is bounded on a large heap', () => {
    expect(getMaxTextBytes(4_096 * MEBIBYTE)).toBe(16 * MEBIBYTE);
  });
});
