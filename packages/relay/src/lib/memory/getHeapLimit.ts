import { memoryOptions } from './memoryOptions.js';

/**
 * Returns how many bytes objects that last may take on the heap of the engine.
 *
 * @param sizeLimitBytes - limit that the engine states, which includes its space for new objects
 * @example
 * ```ts
 * const limit = getHeapLimit(getHeapStatistics().heap_size_limit);
 * ```
 */
export function getHeapLimit(sizeLimitBytes: number): number {
  return Math.max(sizeLimitBytes / 2, sizeLimitBytes - memoryOptions.youngHeapBytes);
}
