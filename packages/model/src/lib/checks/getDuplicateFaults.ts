import type { Fault, ValuePath } from '../Diagnostic.js';

/** A value that has to be unique, and where it stands. */
export interface UniqueValue {
  value: string;
  path: ValuePath;
}

/** One fault for each value that an earlier one already has. */
export function getRepeats(what: string, values: readonly UniqueValue[]): Fault[] {
  const seen = new Set<string>();
  return values.flatMap(({ value, path }) => {
    if (!seen.has(value)) {
      seen.add(value);
      return [];
    }
    return [{ path, reason: `${what} "${value}" is used twice`, expected: `a unique ${what}` }];
  });
}
