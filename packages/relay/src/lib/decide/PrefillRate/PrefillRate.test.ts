import * as fc from 'fast-check';
import { createRandom } from '@apricotrill/utils';
import { PrefillRate, prefillRateOptions } from './PrefillRate.js';

/**
 * Records prompts of an engine with this rate. Where one prompt seems to take too long, the next
 * one seems to take too little time.
 */
function recordPrompts(rate: PrefillRate, speed: number, count: number): void {
  const random = createRandom(Math.round(speed * 100));
  let previousShift = 0;
  for (let index = 0; index < count; index += 1) {
    const tokens = 200 + random.integer(9_000);
    const time = tokens / speed;
    const shift = (random.next() - 0.5) * time;
    rate.record(tokens, time + shift - previousShift);
    previousShift = shift;
  }
}

describe('PrefillRate', () => {
  // New engines prefill twice as fast as the previous ones. When the rate was a constant, all
  // engines but one were reserved for prefill, and short requests were late on the last one.
  it('measures rates from 10 to 300 tokens per millisecond', () => {
    [10, 41, 93, 300].forEach((speed) => {
      const rate = new PrefillRate();
      recordPrompts(rate, speed, 60);
      expect(rate.value / speed).toBeGreaterThan(0.85);
      expect(rate.value / speed).toBeLessThan(1.15);
    });
  });

  it('gives daemons that see different requests similar values', () => {
    const values = [1, 2, 3, 4, 5].map((seed) => {
      const rate = new PrefillRate();
      recordPrompts(rate, 93 + seed / 100, 60);
      return rate.value;
    });
    expect(Math.max(...values) / Math.min(...values)).toBeLessThan(1.1);
  });

  it('adapts when engines are replaced by faster ones', () => {
    const rate = new PrefillRate();
    recordPrompts(rate, 40, 200);
    recordPrompts(rate, 120, 200);
    expect(rate.value).toBeGreaterThan(100);
  });

  it('starts at the rate of the service and converges to that of the engine', () => {
    const service = new PrefillRate();
    recordPrompts(service, 90, 100);
    const slow = new PrefillRate(() => service.value);
    expect(slow.value).toBeCloseTo(service.value);
    recordPrompts(slow, 60, 60);
    expect(slow.value / 60).toBeLessThan(1.15);
  });

  it('stays within its bounds for any measurements', () => {
    const prompt = fc.record({
      tokens: fc.integer({ min: 0, max: 200_000 }),
      time: fc.integer({ min: -1_000, max: 100_000 }),
    });
    fc.assert(
      fc.property(fc.array(prompt, { maxLength: 60 }), (prompts) => {
        const rate = new PrefillRate();
        prompts.forEach(({ tokens, time }) => rate.record(tokens, time));
        expect(rate.value).toBeGreaterThanOrEqual(prefillRateOptions.min);
        expect(rate.value).toBeLessThanOrEqual(prefillRateOptions.max);
      }),
      { seed: 3 },
    );
  });
});
