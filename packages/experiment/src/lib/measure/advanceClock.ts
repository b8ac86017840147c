import type { ManualClock, Milliseconds } from '@apricotrill/utils';

/** Waits until all pending microtasks have run. */
export function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Advances a clock timer by timer and runs pending microtasks in between, for code that combines
 * timers with promises.
 *
 * @param span - in milliseconds of the clock
 * @internal
 */
export async function advanceClock(clock: ManualClock, span: Milliseconds): Promise<void> {
  const end = clock.now() + span;
  await drainMicrotasks();
  while (clock.runNext(end)) {
    // eslint-disable-next-line no-await-in-loop
    await drainMicrotasks();
  }
  clock.advance(end - clock.now());
}
