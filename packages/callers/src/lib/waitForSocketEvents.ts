import { setImmediate } from 'node:timers/promises';

/**
 * Waits until the event loop has looked at all sockets once more. A request and the end of its
 * connection may both have been waiting to be read, and the request is seen first.
 *
 * @public
 */
export async function waitForSocketEvents(): Promise<void> {
  // The first turn may be the one that read the request; the second looks at the sockets again.
  await setImmediate();
  await setImmediate();
}
