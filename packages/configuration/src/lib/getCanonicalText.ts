function sortKeys(key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    return value;
  }
  return Object.fromEntries(
    Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}

/** JSON with sorted keys, so that equal values have equal texts. */
export function getCanonicalText(value: unknown): string {
  return JSON.stringify(value, sortKeys);
}
