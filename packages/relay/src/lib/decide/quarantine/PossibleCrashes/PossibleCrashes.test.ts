import { ManualClock } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';
import { PossibleCrashes } from './PossibleCrashes.js';

describe('PossibleCrashes', () => {
  it('collects what was in flight until the crash is known', () => {
    const possible = new PossibleCrashes(new ManualClock());
    expect(possible.add('i-1', ['a', 'b'])).toBe(true);
    expect(possible.add('i-1', ['c'])).toBe(false);
    possible.clear('b');
    expect(possible.includes('a')).toBe(true);
    expect(possible.take('i-1')).toEqual(['a', 'c']);
    expect(possible.take('i-1')).toBeUndefined();
  });

  it('suspects nothing at a replica whose address accepts connections, and still collects', () => {
    const possible = new PossibleCrashes(new ManualClock());
    possible.add('i-1', ['a']);
    possible.recordUp('i-1');
    expect(possible.includes('a')).toBe(false);
    expect(possible.has('i-1')).toBe(true);
  });

  it('forgets a replica that did not crash', () => {
    const clock = new ManualClock();
    const possible = new PossibleCrashes(clock);
    possible.add('i-1', ['a']);
    clock.advance(quarantineOptions.possibleCrashRetention + 1);
    expect(possible.has('i-1')).toBe(false);
    expect(possible.take('i-1')).toBeUndefined();
  });
});
