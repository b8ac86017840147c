import type { Fault, ValuePath } from '../Diagnostic.js';

/** A value that must be unique, with its path. */
export interface UniqueValue {
  value: string;
  path: ValuePath;
}

/** Returns a fault for each value that repeats an earlier one. */
export function getDuplicateFaults(what: string, values: readonly UniqueValue[]): Fault[] {
  const seen = new Set<string>();
  return values.flatMap(({ value, path }) => {
    if (!seen.has(value)) {
      seen.add(value);
      return [];
    }
    return [{ path, reason: `${what} "${value}" is used twice`, expected: `a unique ${what}` }];
  });
}
