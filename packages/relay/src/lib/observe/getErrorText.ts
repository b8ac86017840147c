/**
 * Returns the text of an unexpected error for a log line: its stack, which includes its message.
 *
 * @example
 * ```ts
 * log({ event: 'fault', step: 'send', id, error: getErrorText(error) });
 * ```
 * @public
 */
export function getErrorText(error: unknown): string {
  return error instanceof Error ? (error.stack ?? String(error)) : String(error);
}
