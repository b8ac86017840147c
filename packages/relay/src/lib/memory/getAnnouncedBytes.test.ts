import { getAnnouncedBytes } from './getAnnouncedBytes.js';

describe('getAnnouncedBytes', () => {
  // Guards against bodies without a stated size, which would be read without room for them.
  it.each([
    [{ 'transfer-encoding': 'chunked' }, 1_000],
    [{ 'content-length': '30' }, 30],
    [{ 'content-length': '3000' }, 1_000],
    [{}, 0],
  ])('returns what %j announces', (headers, bytes) => {
    expect(getAnnouncedBytes({ headers }, 1_000)).toBe(bytes);
  });
});
