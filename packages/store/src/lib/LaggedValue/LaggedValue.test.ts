import { ManualClock } from '@apricotrill/utils';
import { LaggedValue } from './LaggedValue.js';

describe('LaggedValue', () => {
  it('returns each value after the lag, with the latest time at which it was valid', () => {
    const clock = new ManualClock();
    const value = new LaggedValue(clock, 100, 'first');
    clock.advance(50);
    value.set('second');
    clock.advance(40);
    value.set('third');
    expect(value.get()).toEqual({ value: 'first', measuredAt: 0 });
    clock.advance(60);
    expect(value.get()).toEqual({ value: 'second', measuredAt: 50 });
    clock.advance(100);
    expect(value.get()).toEqual({ value: 'third', measuredAt: 150 });
    expect(value.getCurrent()).toBe('third');
  });

  it('applies a changed lag to values set before', () => {
    const clock = new ManualClock();
    const value = new LaggedValue(clock, 1_000, 1);
    value.set(2);
    expect(value.get().value).toBe(1);
    value.setLag(0);
    expect(value.get().value).toBe(2);
  });
});
