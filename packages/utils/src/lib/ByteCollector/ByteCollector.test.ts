import { ByteCollector } from './ByteCollector.js';

/** Creates parts of these sizes, whose bytes differ from each other. */
function createParts(sizes: number[]): Buffer[] {
  return sizes.map((size, index) => Buffer.alloc(size, index + 1));
}

describe('ByteCollector', () => {
  it.each([
    { expectedBytes: 0, sizes: [] },
    { expectedBytes: 5, sizes: [] },
    { expectedBytes: 0, sizes: [0, 1, 0, 2] },
    { expectedBytes: 3, sizes: [1, 2] },
    { expectedBytes: 10, sizes: [1, 2] },
    { expectedBytes: 2, sizes: [1, 2, 3] },
    { expectedBytes: 0, sizes: [200_000, 1, 70_000] },
    { expectedBytes: 100_000, sizes: [90_000, 90_000, 90_000] },
    { expectedBytes: 0, sizes: Array.from({ length: 5_000 }, () => 1) },
  ])('joins parts, of which $expectedBytes bytes were announced', ({ expectedBytes, sizes }) => {
    const collector = new ByteCollector(expectedBytes);
    const parts = createParts(sizes);
    const joined = Buffer.concat(parts);
    parts.forEach((part) => collector.append(part));
    expect(collector.length).toBe(joined.length);
    expect(collector.take().equals(joined)).toBe(true);
    expect(collector.length).toBe(0);
  });

  // Guards against a small part that keeps the whole buffer that it was read to.
  it('keeps no part that it was given', () => {
    const collector = new ByteCollector();
    const part = Buffer.from('abc');
    collector.append(part);
    part.fill('x');
    expect(collector.take().toString()).toBe('abc');
  });
});
