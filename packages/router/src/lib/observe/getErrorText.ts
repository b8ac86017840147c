/**
 * Returns the text of an unexpected error for a log line: its stack, which includes its message.
 *
 * @example
 * ```ts
 * log('daemon', { event: 'fault', step: 'mesh', error: getErrorText(error) });
 * ```
 * @internal
 */
export function getErrorText(error: unknown): string {
  return error instanceof Error ? (error.stack ?? String(error)) : String(error);
}
