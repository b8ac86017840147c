import { Slowdown } from './Slowdown.js';
import { SlowdownPersistence } from './SlowdownPersistence.js';
import { slowdownOptions } from './slowdownOptions.js';

function createSlowdown(): Slowdown {
  return new Slowdown(new SlowdownPersistence());
}

describe('Slowdown', () => {
  it('is exactly 1 for a replica that states none', () => {
    const slowdown = createSlowdown();
    expect(slowdown.getValue(1_000)).toBe(1);
    expect(slowdown.getSpeed(0, 1_000)).toBe(1);
    expect(slowdown.isStated).toBe(false);
  });

  it('is what was stated, and reverts to the mean as the statement ages', () => {
    const slowdown = createSlowdown();
    slowdown.record(2.5, 100);
    expect(slowdown.getValue(100)).toBe(2.5);
    expect(slowdown.getValue(150)).toBeGreaterThan(2);
    expect(slowdown.getValue(300)).toBeLessThan(2.2);
    expect(slowdown.getValue(20_000)).toBeCloseTo(1, 2);
  });

  it('reverts to the long-run mean of the replica itself', () => {
    const slowdown = createSlowdown();
    for (let now = 0; now < 120_000; now += 250) {
      slowdown.record(1.8, now);
    }
    slowdown.record(1, 120_000);
    expect(slowdown.getValue(150_000)).toBeGreaterThan(1.7);
  });

  // Guards against a replica that attracts or repels all requests with what it states.
  it('bounds what a replica states', () => {
    const slowdown = createSlowdown();
    slowdown.record(1e-9, 0);
    expect(slowdown.getValue(0)).toBe(slowdownOptions.min);
    slowdown.record(1e9, 10);
    expect(slowdown.getValue(10)).toBe(slowdownOptions.max);
  });

  it('tells how much work was done while a prompt was read', () => {
    const slowdown = createSlowdown();
    [0, 100, 200, 300].forEach((at) => slowdown.record(2.5, at));
    expect(slowdown.getSpeed(0, 300)).toBeGreaterThan(0.38);
    expect(slowdown.getSpeed(0, 300)).toBeLessThan(0.6);
    [400, 500, 600].forEach((at) => slowdown.record(1, at));
    expect(slowdown.getSpeed(400, 600)).toBeGreaterThan(0.85);
    expect(slowdown.getSpeed(0, 300)).toBeLessThan(0.6);
  });
});
