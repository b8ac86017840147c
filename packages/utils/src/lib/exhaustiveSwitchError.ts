/**
 * The error for the default branch of an exhaustive switch. The compiler refuses the call while a
 * variant is unhandled; at run time it names a value that came from outside our types.
 *
 * @param value - the value no branch took
 * @example
 * ```ts
 * default: throw exhaustiveSwitchError(message);
 * ```
 * @public
 */
export function exhaustiveSwitchError(value: never): Error {
  return new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
