/**
 * Waits until the connections that the kernel has completed are accepted; call it right before a port
 * is closed. A port that closes resets them: their callers see their first request fail, and the
 * daemon never knows of them. Sockets are polled before the next immediate callback runs.
 *
 * @example
 * ```ts
 * await waitForAccepted();
 * server.close();
 * ```
 * @public
 */
export function waitForAccepted(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}
