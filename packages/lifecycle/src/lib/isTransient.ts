/** Codes of errors of sockets that can pass without a change of the settings. */
const TRANSIENT_CODES = new Set([
  'EADDRINUSE',
  'EADDRNOTAVAIL',
  'EAGAIN',
  'EINTR',
  'EMFILE',
  'ENETDOWN',
  'ENFILE',
  'ENOBUFS',
  'ENOMEM',
]);

/**
 * Whether opening a port can succeed later: another process holds it, its address is not configured yet, or the
 * system lacks a resource.
 *
 * @example
 * ```ts
 * isTransient(Object.assign(new Error('taken'), { code: 'EADDRINUSE' })); // true
 * ```
 * @public
 */
export function isTransient(error: unknown): boolean {
  const { code } = (error ?? {}) as { code?: unknown };
  return typeof code === 'string' && TRANSIENT_CODES.has(code);
}
