import { AttemptFailures } from './AttemptFailures.js';

describe('AttemptFailures', () => {
  it('counts broken attempts up to the next response', () => {
    const failures = new AttemptFailures();
    expect([failures.recordBroken(), failures.recordBroken()]).toEqual([1, 2]);
    failures.recordFailure();
    expect(failures.recordBroken()).toBe(1);
    failures.recordSuccess();
    expect(failures.recordBroken()).toBe(1);
    failures.clearBroken();
    expect(failures.recordBroken()).toBe(1);
  });

  it('follows the share of attempts that fail or break', () => {
    const failures = new AttemptFailures();
    for (let index = 0; index < 100; index += 1) {
      failures.recordFailure();
    }
    expect(failures.failureRate).toBeGreaterThan(0.99);
    failures.forgive(0.2);
    expect(failures.failureRate).toBe(0.2);
    failures.recordSuccess();
    expect(failures.failureRate).toBeLessThan(0.2);
  });
});
