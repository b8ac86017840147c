/**
 * Throws an error if an invariant does not hold, instead of continuing with an inconsistent state.
 *
 * @param condition - the condition that must be true
 * @param message - a description of the invariant, for the error message
 * @throws Error if the condition is false
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
