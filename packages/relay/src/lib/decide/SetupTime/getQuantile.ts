/**
 * The value that a part of all values does not exceed.
 *
 * @example
 * ```ts
 * quantileOf([4, 1, 3, 2], 0.5); // 2
 * ```
 */
export function quantileOf(values: readonly number[], part: number): number {
  const ordered = [...values].sort((left, right) => left - right);
  return ordered[Math.floor((ordered.length - 1) * part)] ?? 0;
}
