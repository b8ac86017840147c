import { admissionOptions } from '../admissionOptions.js';
import { RetryAdvice } from './RetryAdvice.js';

const { minRetryAfter, maxRetryShare } = admissionOptions;

describe('RetryAdvice', () => {
  it('asks callers that are refused together to return one after the other', () => {
    // Guards against callers that return as a burst, most of which are refused again.
    const advice = new RetryAdvice(admissionOptions, 0);
    for (let now = 0; now < 2_000; now += 20) {
      advice.recordBegin(now);
    }
    const inputs = { now: 2_000, roomIn: 150, timeLeft: 60_000 };
    const times = Array.from({ length: 20 }, () => advice.getRetryAfter(inputs));
    const gaps = times.slice(1).map((time, index) => time - times[index]!);
    expect(times[0]).toBe(150);
    // Requests begin every 20 ms; those of the last two seconds count for most of the average.
    gaps.forEach((gap) => {
      expect(gap).toBeGreaterThan(15);
      expect(gap).toBeLessThan(40);
    });
  });

  it('leaves callers the time for another attempt', () => {
    const advice = new RetryAdvice(admissionOptions, 0);
    const inputs = { now: 0, roomIn: 4_000, timeLeft: 900 };
    expect(advice.getRetryAfter(inputs)).toBe(900 * maxRetryShare);
    expect(advice.getRetryAfter({ ...inputs, timeLeft: 0 })).toBe(minRetryAfter);
    expect(advice.getRetryAfter({ ...inputs, roomIn: 0 })).toBeGreaterThanOrEqual(minRetryAfter);
  });
});
