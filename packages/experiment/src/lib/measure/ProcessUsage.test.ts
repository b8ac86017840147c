import { parseProcessorTime, readProcessUsage } from './ProcessUsage.js';

describe('ProcessUsage', () => {
  it('adds user and system time when the command contains spaces and brackets', () => {
    const rest = 'S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0';
    expect(parseProcessorTime(`42 (a (b) c) ${rest}`)).toBe(3000);
  });

  it('reads the resident memory of this process', () => {
    expect(readProcessUsage(process.pid).residentBytes).toBeGreaterThan(0);
  });
});
