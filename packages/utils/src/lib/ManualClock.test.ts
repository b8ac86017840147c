import { ManualClock } from './ManualClock.js';

describe('ManualClock', () => {
  it('runs timers by due time, then in the order they were set, and skips cancelled ones', () => {
    const clock = new ManualClock(10);
    const calls: string[] = [];
    clock.setTimer(30, () => calls.push(`late@${clock.now()}`));
    clock.setTimer(10, () => calls.push(`first@${clock.now()}`));
    clock.setTimer(10, () => calls.push(`second@${clock.now()}`));
    clock.setTimer(20, () => calls.push('cancelled')).cancel();
    clock.advance(25);
    expect(calls).toEqual(['first@20', 'second@20']);
    expect(clock.now()).toBe(35);
    clock.advance(5);
    expect(calls).toEqual(['first@20', 'second@20', 'late@40']);
  });
});
