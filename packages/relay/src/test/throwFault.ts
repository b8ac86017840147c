/** Fails the test: no handler is expected to fail. */
export function throwFault(error: unknown): never {
  throw error;
}
