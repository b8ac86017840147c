import { RecentPrefill } from './RecentPrefill.js';

describe('RecentPrefill', () => {
  it('halves what was recorded within its half-life', () => {
    const recent = new RecentPrefill(1_500);
    recent.record(6_000, 0);
    recent.record(1_000, 1_500);
    expect(recent.getTokens(1_500)).toBe(4_000);
    expect(recent.getTokens(3_000)).toBe(2_000);
  });

  it('is above 1 where more is sent than the engine can prefill', () => {
    const recent = new RecentPrefill(1_500);
    for (let now = 0; now < 20_000; now += 100) {
      recent.record(8_000, now);
    }
    expect(recent.getShare(40, 20_000)).toBeGreaterThan(1.8);
    expect(recent.getShare(160, 20_000)).toBeLessThan(0.6);
  });
});
