import { setTimeout as sleep } from 'node:timers/promises';
import { SystemClock } from './SystemClock.js';

const LONG_DELAYS = [2_147_483_648, 1e15, Number.POSITIVE_INFINITY];

/** Delays that are too long for the platform are cut to 1 ms. */
const WAIT = 50;

describe('SystemClock', () => {
  // Guards against configured timeouts of more than 24 days that pass at once.
  it.each(LONG_DELAYS)('does not call back before a delay of %d ms has passed', async (delay) => {
    const clock = new SystemClock();
    let isCalled = false;
    const timer = clock.setTimer(delay, () => {
      isCalled = true;
    });
    await sleep(WAIT);
    timer.cancel();
    expect(isCalled).toBe(false);
  });

  it('calls back after a delay, and at once if it is negative', async () => {
    const clock = new SystemClock();
    const startedAt = clock.now();
    await new Promise<void>((resolve) => {
      clock.setTimer(-1, resolve);
    });
    await new Promise<void>((resolve) => {
      clock.setTimer(WAIT, resolve);
    });
    expect(clock.now() - startedAt).toBeGreaterThan(WAIT / 2);
  });

  it('does not call back after a timer is cancelled', async () => {
    let isCalled = false;
    const timer = new SystemClock().setTimer(0, () => {
      isCalled = true;
    });
    timer.cancel();
    await sleep(WAIT);
    expect(isCalled).toBe(false);
  });
});
