/**
 * Stops at once where an invariant of ours does not hold, instead of carrying a wrong state on.
 *
 * @param condition - what must be true
 * @param message - what was expected, for the reader of the stack trace
 * @throws Error when the condition is false
 * @example
 * ```ts
 * assert(slots > 0, 'a replica has at least one slot');
 * ```
 * @public
 */
export function assert(condition: unknown, message: string): asserts condition {
  if (!condition) {
    throw new Error(`assertion failed: ${message}`);
  }
}
