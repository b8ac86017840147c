import * as fc from 'fast-check';
import { RetryBudget } from '../RetryBudget/RetryBudget.js';

const WINDOW = 10_000;

describe('RetryAllowance', () => {
  it('keeps the repeats of any window under the ratio and the slack', () => {
    const event = fc.record({
      pause: fc.integer({ min: 0, max: 800 }),
      isRequest: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(event, { maxLength: 200 }), (events) => {
        const allowance = new RetryBudget({ ratio: 0.2, window: WINDOW, slack: 2 });
        const requests: number[] = [];
        const repeats: number[] = [];
        let now = 0;
        events.forEach(({ pause, isRequest }) => {
          now += pause;
          if (isRequest) {
            requests.push(now);
            allowance.recordRequest(now);
          } else if (allowance.tryTake(now)) {
            repeats.push(now);
          }
        });
        repeats.forEach((end) => {
          // A window's step may hold half a second more than the window.
          const inWindow = (at: number) => at > end - WINDOW + 500 && at <= end;
          const most = 0.2 * requests.filter((at) => at > end - WINDOW && at <= end).length + 2;
          expect(repeats.filter(inWindow).length).toBeLessThanOrEqual(most);
        });
      }),
      { seed: 11 },
    );
  });

  it('takes over other bounds', () => {
    const allowance = new RetryBudget({ ratio: 0, window: WINDOW, slack: 0 });
    expect(allowance.tryTake(0)).toBe(false);
    allowance.setLimits({ ratio: 0, window: WINDOW, slack: 1 });
    expect(allowance.tryTake(0)).toBe(true);
    expect(allowance.tryTake(0)).toBe(false);
    expect(allowance.tryTake(WINDOW + 1_000)).toBe(true);
  });
});
