import { RetryBudget } from './RetryBudget.js';

const OPTIONS = { retryRatio: 0.25, retryBurst: 8, retryTrickle: 1, retryReserve: 0.25 };

const countTaken = (budget: RetryBudget, now: number, isUrgent: boolean, tries = 100) =>
  Array.from({ length: tries }, () => budget.take(now, isUrgent)).filter(Boolean).length;

describe('RetryBudget', () => {
  it('bounds retries by successes, a burst and a trickle', () => {
    // Symptom: a service that fails gets several times its load. Cause: each failure is retried.
    const budget = new RetryBudget(OPTIONS, 0);
    expect(countTaken(budget, 0, true)).toBe(8);
    for (let success = 0; success < 12; success += 1) {
      budget.earn();
    }
    expect(countTaken(budget, 0, true)).toBe(3);
    expect(countTaken(budget, 2000, true)).toBe(2);
  });

  it('keeps a part of the burst for urgent tiers', () => {
    const budget = new RetryBudget(OPTIONS, 0);
    expect(countTaken(budget, 0, false)).toBe(6);
    expect(countTaken(budget, 0, true)).toBe(2);
  });
});
