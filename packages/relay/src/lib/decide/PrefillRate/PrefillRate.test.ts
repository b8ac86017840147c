import * as fc from 'fast-check';
import { createRandom } from '@apricotrill/utils';
import { ReadRate, rateOptions } from '../PrefillRate/PrefillRate.js';

/** Prompts of an engine that reads so fast; what one seems to take too long the next takes too little. */
function teach(rate: ReadRate, speed: number, count: number): void {
  const random = createRandom(Math.round(speed * 100));
  let borrowed = 0;
  for (let index = 0; index < count; index += 1) {
    const tokens = 200 + random.integer(9_000);
    const time = tokens / speed;
    const shift = (random.next() - 0.5) * time;
    rate.note(tokens, time + shift - borrowed);
    borrowed = shift;
  }
}

describe('ReadRate', () => {
  // Symptom: all engines but one are kept for reading, and short questions are late at the last.
  // Sequence: engines come that read twice as fast as those before. Cause: the rate was a constant.
  it('learns the rate of engines from ten tokens a millisecond to three hundred', () => {
    [10, 41, 93, 300].forEach((speed) => {
      const rate = new ReadRate();
      teach(rate, speed, 60);
      expect(rate.value / speed).toBeGreaterThan(0.85);
      expect(rate.value / speed).toBeLessThan(1.15);
    });
  });

  it('agrees among daemons that see other requests', () => {
    const values = [1, 2, 3, 4, 5].map((seed) => {
      const rate = new ReadRate();
      teach(rate, 93 + seed / 100, 60);
      return rate.value;
    });
    expect(Math.max(...values) / Math.min(...values)).toBeLessThan(1.1);
  });

  it('follows engines that are replaced by faster ones', () => {
    const rate = new ReadRate();
    teach(rate, 40, 200);
    teach(rate, 120, 200);
    expect(rate.value).toBeGreaterThan(100);
  });

  it('takes an engine that has read little to be like the others, and knows it by what it reads', () => {
    const service = new ReadRate();
    teach(service, 90, 100);
    const slow = new ReadRate(() => service.value);
    expect(slow.value).toBeCloseTo(service.value);
    teach(slow, 60, 60);
    expect(slow.value / 60).toBeLessThan(1.15);
  });

  it('stays within its bounds whatever it is told', () => {
    const prompt = fc.record({
      tokens: fc.integer({ min: 0, max: 200_000 }),
      time: fc.integer({ min: -1_000, max: 100_000 }),
    });
    fc.assert(
      fc.property(fc.array(prompt, { maxLength: 60 }), (prompts) => {
        const rate = new ReadRate();
        prompts.forEach(({ tokens, time }) => rate.note(tokens, time));
        expect(rate.value).toBeGreaterThanOrEqual(rateOptions.slowest);
        expect(rate.value).toBeLessThanOrEqual(rateOptions.fastest);
      }),
      { seed: 3 },
    );
  });
});
