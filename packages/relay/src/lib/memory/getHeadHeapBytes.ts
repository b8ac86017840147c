import type { IncomingMessage } from 'node:http';
import { memoryOptions } from './memoryOptions.js';

/**
 * Returns how many bytes the head of a request takes on the heap.
 *
 * @example
 * ```ts
 * const holding = memory.tryAdmit({ urgency: 1, bytes: 0, headBytes: getHeadHeapBytes(request) });
 * ```
 */
export function getHeadHeapBytes({
  rawHeaders,
  url,
}: Pick<IncomingMessage, 'rawHeaders' | 'url'>): number {
  const characters = rawHeaders.reduce((sum, item) => sum + item.length, url?.length ?? 0);
  return characters + (rawHeaders.length / 2) * memoryOptions.headFieldBytes;
}
