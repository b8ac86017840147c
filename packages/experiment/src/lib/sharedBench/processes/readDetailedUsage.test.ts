import { parseAnonymousBytes, parseIoBytes } from './readDetailedUsage.js';

describe('readDetailedUsage', () => {
  it('reads the memory that is no file from the status', () => {
    const status =
      'Name:\tnode\nVmRSS:\t   90000 kB\nRssAnon:\t   48000 kB\nRssFile:\t   42000 kB\n';
    expect(parseAnonymousBytes(status)).toBe(48_000 * 1024);
  });

  it('adds what was read and what was written', () => {
    expect(parseIoBytes('rchar: 300\nwchar: 40\nsyscr: 7\nsyscw: 9\nread_bytes: 0\n')).toBe(340);
  });
});
