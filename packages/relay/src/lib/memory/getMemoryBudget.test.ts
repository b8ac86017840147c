import { getMemoryBudget } from './getMemoryBudget.js';
import { memoryOptions } from './memoryOptions.js';

const { overhead, minBudgetBytes, ownBytes, reservedBytes } = memoryOptions;

describe('getMemoryBudget', () => {
  it('leaves the process what it needs itself, and room for the overhead of what it holds', () => {
    const limit = 210_000_000;
    const budget = getMemoryBudget(limit, 80_000_000);
    expect(80_000_000 + reservedBytes + overhead * budget).toBeLessThanOrEqual(limit);
    expect(budget).toBeGreaterThan(minBudgetBytes);
  });

  // Guards against a bound of nothing, or of everything, where the operating system states no use of memory.
  it('assumes a usual process where its use of memory is not known', () => {
    const limit = 210_000_000;
    expect(getMemoryBudget(limit, 0)).toBe(getMemoryBudget(limit, ownBytes));
    expect(getMemoryBudget(limit, 2 * limit)).toBe(getMemoryBudget(limit, ownBytes));
  });

  it('serves requests even if the limit is low', () => {
    expect(getMemoryBudget(60_000_000, 70_000_000)).toBe(minBudgetBytes);
  });
});
