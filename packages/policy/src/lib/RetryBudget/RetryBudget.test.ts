import { RetryBudget } from './RetryBudget.js';

const OPTIONS = { retryRatio: 0.25, retryBurst: 8, minRetriesPerSecond: 1, urgentRetryShare: 0.25 };

const countRetries = (budget: RetryBudget, now: number, isUrgent: boolean, tries = 100) =>
  Array.from({ length: tries }, () => budget.tryTake(now, isUrgent)).filter(Boolean).length;

describe('RetryBudget', () => {
  it('limits retries to a fraction of the successes, a burst and a minimum rate', () => {
    // Guards against retries that multiply the load of a failing service.
    const budget = new RetryBudget(OPTIONS, 0);
    expect(countRetries(budget, 0, true)).toBe(8);
    for (let success = 0; success < 12; success += 1) {
      budget.recordSuccess();
    }
    expect(countRetries(budget, 0, true)).toBe(3);
    expect(countRetries(budget, 2000, true)).toBe(2);
  });

  it('reserves part of the burst for urgent tiers', () => {
    const budget = new RetryBudget(OPTIONS, 0);
    expect(countRetries(budget, 0, false)).toBe(6);
    expect(countRetries(budget, 0, true)).toBe(2);
  });
});
