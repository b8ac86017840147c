import type { ManualClock, Milliseconds } from '@apricotrill/utils';

/** Lets every promise that is ready run. */
export function drainMicrotasks(): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(resolve);
  });
}

/**
 * Moves a clock timer by timer and lets promises run in between, for parts that mix timers with
 * promises.
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
