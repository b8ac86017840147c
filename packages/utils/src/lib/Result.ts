/**
 * The result of an operation whose failures are expected and not thrown as exceptions.
 *
 * @public
 */
export type Result<Value, Failure> = { ok: true; value: Value } | { ok: false; error: Failure };

/**
 * Wraps a value as a success.
 *
 * @example
 * ```ts
 * return success(register);
 * ```
 * @public
 */
export function success<Value>(value: Value): { ok: true; value: Value } {
  return { ok: true, value };
}

/**
 * Wraps an error as a failure.
 *
 * @example
 * ```ts
 * return failure(diagnostics);
 * ```
 * @public
 */
export function failure<Failure>(error: Failure): { ok: false; error: Failure } {
  return { ok: false, error };
}
