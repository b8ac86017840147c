import { setImmediate } from 'node:timers/promises';

/** Lets the process go on until the condition holds; the test's own time limit ends it otherwise. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    // Without a reference, so that a condition which never holds doesn't keep the process alive.
    // eslint-disable-next-line no-await-in-loop -- one turn of the event loop after the other
    await setImmediate(undefined, { ref: false });
  }
}
