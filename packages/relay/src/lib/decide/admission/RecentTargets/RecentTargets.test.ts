import { RecentTargets } from './RecentTargets.js';

describe('RecentTargets', () => {
  it('gets the shortest target of recent requests', () => {
    const targets = new RecentTargets(1_000);
    expect(targets.getShortest(0)).toBe(Number.POSITIVE_INFINITY);
    targets.record(300, 0);
    targets.record(800, 600);
    expect(targets.getShortest(1_000)).toBe(300);
    expect(targets.getShortest(1_001)).toBe(800);
  });
});
