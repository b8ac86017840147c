import { createProcessRandom } from './createProcessRandom.js';

const first = (host: string, pid: number, startedAt = 0) =>
  createProcessRandom({ host, pid, startedAt }).next();

describe('createProcessRandom', () => {
  // Guards against daemons that draw the same random delay, and all shut down at the same time.
  it.each([
    ['process IDs are small', (index: number) => first('edge', index)],
    ['process IDs are neighbours', (index: number) => first('edge', 5_000 + index)],
    ['hosts differ alone', (index: number) => first(`edge-${index}`, 1)],
    ['starts differ alone', (index: number) => first('edge', 1, 1_700_000_000_000 + index / 10)],
  ])('draws spread numbers where %s', (_name, draw) => {
    const numbers = Array.from({ length: 100 }, (_none, index) => draw(index));
    const tenths = new Set(numbers.map((number) => Math.floor(number * 10)));
    expect(tenths.size).toBeGreaterThanOrEqual(9);
    const mean = numbers.reduce((sum, number) => sum + number, 0) / numbers.length;
    expect(mean).toBeGreaterThan(0.35);
    expect(mean).toBeLessThan(0.65);
  });
});
