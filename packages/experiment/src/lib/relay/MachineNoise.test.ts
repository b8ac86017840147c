import { MachineNoise } from './MachineNoise.js';

describe('MachineNoise', () => {
  it.each([1, 2, 3])('takes its share of the time, in spells of equal length: seed %d', (seed) => {
    const noise = new MachineNoise({ share: 0.15, factor: 2.5, period: 4_000 }, seed);
    const values = Array.from({ length: 400_000 }, (_item, at) => noise.getSlowdown(at));
    const slow = values.filter((value) => value === 2.5).length;
    expect(values.filter((value) => value === 1).length).toBe(values.length - slow);
    expect(slow / values.length).toBeGreaterThan(0.11);
    expect(slow / values.length).toBeLessThan(0.19);
    const starts = values.flatMap((value, at) => (value > (values[at - 1] ?? 1) ? [at] : []));
    const lengths = starts.slice(0, -1).map((start) => values.indexOf(1, start) - start);
    expect(Math.min(...lengths)).toBeGreaterThanOrEqual(599);
  });
});
