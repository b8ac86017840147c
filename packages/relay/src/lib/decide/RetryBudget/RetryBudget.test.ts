import * as fc from 'fast-check';
import { RetryBudget } from './RetryBudget.js';

const WINDOW = 10_000;

describe('RetryBudget', () => {
  it('limits the retries of any window to the ratio and the slack', () => {
    const event = fc.record({
      pause: fc.integer({ min: 0, max: 800 }),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 200 }), (events) => {
        const budget = new RetryBudget({ ratio: 0.2, window: WINDOW, slack: 2 });
        const requests: number[] = [];
        const retries: number[] = [];
        let now = 0;
        events.forEach(({ pause, isRequest }) => {
          now += pause;
          if (isRequest) {
            requests.push(now);
            budget.recordRequest(now);
          } else if (budget.tryTake(now)) {
            retries.push(now);
          }
        });
        retries.forEach((end) => {
          // Counts expire in whole buckets, up to 500 ms before they leave the window.
          const inWindow = (at: number) => at > end - WINDOW + 500 && at <= end;
          const max = 0.2 * requests.filter((at) => at > end - WINDOW && at <= end).length + 2;
          expect(retries.filter(inWindow).length).toBeLessThanOrEqual(max);
        });
      }),
      { seed: 11 },
    );
  });

  it('applies new limits', () => {
    const budget = new RetryBudget({ ratio: 0, window: WINDOW, slack: 0 });
    expect(budget.tryTake(0)).toBe(false);
    budget.setLimits({ ratio: 0, window: WINDOW, slack: 1 });
    expect(budget.tryTake(0)).toBe(true);
    expect(budget.tryTake(0)).toBe(false);
    expect(budget.tryTake(WINDOW + 1_000)).toBe(true);
  });
});
