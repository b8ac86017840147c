import { AttemptEnd } from '@apricotrill/policy';

/** Errors of the connection being opened: no byte of the request has been written by then. */
const NOT_SENT_CODES = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * What a thrown error proves about an attempt. Only a connection that never opened proves that
 * nothing ran; anything later may have run.
 *
 * @param error - what the HTTP client threw
 * @example
 * ```ts
 * const end = getEndOfError(error);
 * ```
 * @internal
 */
export function getEndOfError(error: unknown): AttemptEnd {
  const { code } = error as { code?: unknown };
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
    ? AttemptEnd.NotSent
    : AttemptEnd.Broken;
}
