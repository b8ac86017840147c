/** Largest response of the store or of a daemon that is read, however large the heap is, in bytes. */
const MAX_TEXT_BYTES = 16_777_216;

/** Bytes on the heap for each byte of a text while it is parsed: a number of one digit in a list takes most. */
const HEAP_BYTES_PER_TEXT_BYTE = 16;

/** Part of the heap that one text may take. */
const HEAP_SHARE = 2 / 3;

/**
 * Returns how large a JSON text may be, in bytes, so that the heap is not full while it is parsed.
 *
 * @param heapLimit - bytes that objects may take on the heap
 * @example
 * ```ts
 * getMaxTextBytes(getHeapLimit(getHeapStatistics().heap_size_limit));
 * ```
 */
export function getMaxTextBytes(heapLimit: number): number {
  const affordable = (heapLimit * HEAP_SHARE) / HEAP_BYTES_PER_TEXT_BYTE;
  return Math.floor(Math.min(MAX_TEXT_BYTES, affordable));
}
