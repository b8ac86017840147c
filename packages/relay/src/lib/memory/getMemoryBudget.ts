import { memoryOptions } from './memoryOptions.js';

/**
 * Returns how many bytes a daemon may hold for callers, replicas and other daemons.
 *
 * @param limitBytes - memory of the process, beyond which it is killed
 * @param ownBytes - memory that the process uses before it serves requests; 0 if that is not known
 * @example
 * ```ts
 * const budget = getMemoryBudget(settings.memoryLimit, process.memoryUsage.rss());
 * ```
 */
export function getMemoryBudget(limitBytes: number, ownBytes: number): number {
  const { overhead, minBudgetBytes, reservedBytes } = memoryOptions;
  const isKnown = ownBytes > 0 && ownBytes < limitBytes;
  const own = isKnown ? ownBytes : memoryOptions.ownBytes;
  return Math.max(minBudgetBytes, Math.floor((limitBytes - own - reservedBytes) / overhead));
}
