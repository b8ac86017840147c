/**
 * Creates the error for the default branch of an exhaustive switch. The compiler rejects the call
 * while a variant is unhandled. At run time, the message shows a value that does not match its
 * type.
 *
 * @param value - the unhandled value
 * @example
 * ```ts
 * default: throw exhaustiveSwitchError(message);
 * ```
 * @public
 */
export function exhaustiveSwitchError(value: never): Error {
  return new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
