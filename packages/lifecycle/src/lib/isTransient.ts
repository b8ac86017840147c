/** Errors of the system, such as EADDRINUSE; those of Node.js, such as ERR_SOCKET_BAD_PORT, contain underscores. */
const SYSTEM_CODE = /^E[A-Z\d]+$/;

/** The stated host is not an address. */
const UNKNOWN_HOST = 'ENOTFOUND';

/**
 * Whether opening a port can succeed later without a change of its address. What the system refuses can: another
 * process holds the port, its address or route is not configured yet, a resource is short, or a firewall or security
 * policy is about to change. What is wrong with the address itself can't.
 *
 * @example
 * ```ts
 * isTransient(Object.assign(new Error('taken'), { code: 'EADDRINUSE' })); // true
 * ```
 * @public
 */
export function isTransient(error: unknown): boolean {
  const { code } = (error ?? {}) as { code?: unknown };
  return typeof code === 'string' && SYSTEM_CODE.test(code) && code !== UNKNOWN_HOST;
}
