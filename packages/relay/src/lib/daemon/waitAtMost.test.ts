import { ManualClock } from '@apricotrill/utils';
import { waitAtMost } from './waitAtMost.js';

describe('waitAtMost', () => {
  // Guards against a shutdown that exceeds the grace period, so that the process is killed: the daemon
  // removed its entry from the store while the store was unavailable, and waited for the response.
  it('resolves at the timeout if the promise is never settled', async () => {
    const clock = new ManualClock();
    let isOver = false;
    const never = new Promise(() => {});
    const waiting = waitAtMost(never, clock, 300).then(() => {
      isOver = true;
    });
    clock.advance(299);
    await Promise.resolve();
    expect(isOver).toBe(false);
    clock.advance(1);
    await waiting;
    expect(isOver).toBe(true);
  });

  it('resolves at once when the promise is fulfilled or rejected', async () => {
    const clock = new ManualClock();
    await waitAtMost(Promise.resolve(), clock, 300);
    await waitAtMost(Promise.reject(new Error('unavailable')), clock, 300);
    expect(clock.now()).toBe(0);
  });
});
