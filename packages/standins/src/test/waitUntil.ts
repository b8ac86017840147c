import { setImmediate } from 'node:timers/promises';

/** Resolves once the condition holds; if it never does, the timeout of the test ends the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    // Unreferenced, so that a condition which never holds does not keep the process alive.
    // eslint-disable-next-line no-await-in-loop -- checks once per turn of the event loop
    await setImmediate(undefined, { ref: false });
  }
}
