import * as fc from 'fast-check';
import { RateLimit } from './RateLimit.js';

/** Window in which requests are counted, and the number allowed per window. */
const WINDOW = 4_000;
const getAllowed = (rate: number) => 1.5 * rate * (WINDOW / 1_000) + 5;

/** Returns the maximum number of sends in any window for requests arriving at the given times. */
function getMaximumSends(rate: number, arrivals: readonly number[]): number {
  const limit = new RateLimit(rate, 0);
  const sends: number[] = [];
  arrivals.forEach((at) => {
    if (limit.hasToken(at)) {
      limit.take(at);
      sends.push(at);
    }
  });
  return Math.max(
    0,
    ...sends.map((from) => sends.filter((at) => at >= from && at < from + WINDOW).length),
  );
}

describe('RateLimit', () => {
  it('bounds the sends in any window by the rate plus one burst', () => {
    fc.assert(
      fc.property(
        fc.double({ min: 0, max: 50, noNaN: true }),
        fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 300 }),
        (rate, gaps) => {
          let at = 0;
          const arrivals = gaps.map((gap) => {
            at += gap;
            return at;
          });
          const max = (rate * WINDOW) / 1_000 + Math.max(1, rate / 2);
          expect(getMaximumSends(rate, arrivals)).toBeLessThanOrEqual(Math.ceil(max));
          expect(getMaximumSends(rate, arrivals)).toBeLessThanOrEqual(getAllowed(rate));
        },
      ),
      { seed: 20_261_205 },
    );
  });

  it('sustains the full rate under saturation', () => {
    const arrivals = Array.from({ length: 4_000 }, (_item, index) => index * 10);
    const limit = new RateLimit(1.6, 0);
    const sent = arrivals.filter((at) => {
      const hasToken = limit.hasToken(at);
      if (hasToken) {
        limit.take(at);
      }
      return hasToken;
    });
    expect(sent.length).toBeGreaterThanOrEqual(62);
    expect(sent.length).toBeLessThanOrEqual(64);
  });

  it('compensates for requests sent beyond the limit', () => {
    const limit = new RateLimit(1, 0);
    limit.take(0);
    limit.take(0);
    expect(limit.hasToken(2_900)).toBe(false);
    expect(limit.hasToken(3_000)).toBe(true);
  });

  it('starts without tokens and applies a changed rate', () => {
    const limit = new RateLimit(1, 0);
    expect(limit.hasToken(0)).toBe(false);
    limit.setRate(10, 0);
    expect(limit.hasToken(100)).toBe(true);
    limit.setRate(0, 100);
    limit.take(100);
    expect(limit.hasToken(1_000_000)).toBe(false);
  });
});
