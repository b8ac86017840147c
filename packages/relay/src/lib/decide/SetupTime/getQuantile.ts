/**
 * Gets a quantile: the value that the given part of all values does not exceed.
 *
 * @example
 * ```ts
 * getQuantile([4, 1, 3, 2], 0.5); // 2
 * ```
 */
export function getQuantile(values: readonly number[], part: number): number {
  const ordered = [...values].sort((left, right) => left - right);
  return ordered[Math.floor((ordered.length - 1) * part)] ?? 0;
}
