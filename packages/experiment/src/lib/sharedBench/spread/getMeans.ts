import { mean } from 'simple-statistics';

/** The mean; 0 of none. */
export function getMean(values: readonly number[]): number {
  return values.length === 0 ? 0 : mean([...values]);
}

/**
 * The mean of each entry over several records; what a record does not name counts as 0 there.
 *
 * @internal
 */
export function getMeans(records: readonly Record<string, number>[]): Record<string, number> {
  const names = new Set(records.flatMap((record) => Object.keys(record)));
  return Object.fromEntries(
    [...names].map((name) => [name, getMean(records.map((record) => record[name] ?? 0))]),
  );
}
