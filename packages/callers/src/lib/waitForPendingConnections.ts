/**
 * Waits until the process has accepted the connections that the kernel has established. Call it
 * right before closing a port: closing resets connections that were not accepted, so their callers'
 * first requests fail without the daemon noticing. The event loop polls sockets before it runs the
 * next immediate callback.
 *
 * @example
 * ```ts
 * await waitForPendingConnections();
 * server.close();
 * ```
 * @public
 */
export function waitForPendingConnections(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
