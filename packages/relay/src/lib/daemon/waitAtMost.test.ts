import { ManualClock } from '@apricotrill/utils';
import { waitAtMost } from './waitAtMost.js';

describe('waitAtMost', () => {
  // Symptom: a daemon that was told to stop is killed at the end of its grace. Sequence: the store
  // is away; the daemon has answered everything and takes its entry out of the store. Cause: it
  // waited for the store's answer beyond its grace.
  it('goes on without what never comes', async () => {
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

  it('goes on at once with what came, or failed', async () => {
    const clock = new ManualClock();
    await waitAtMost(Promise.resolve(), clock, 300);
    await waitAtMost(Promise.reject(new Error('no answer')), clock, 300);
    expect(clock.now()).toBe(0);
  });
});
