import { setImmediate } from 'node:timers/promises';

/**
 * Waits until the event loop has polled all sockets once more. A request and the end of its
 * connection may both be waiting to be read, and the request is read first.
 *
 * @public
 */
export async function waitForSocketEvents(): Promise<void> {
  // The first iteration may be the one that read the request; the second polls the sockets again.
  await setImmediate();
  await setImmediate();
}
