import { ManualClock } from '@apricotrill/utils';
import { quarantineOptions } from '../quarantineOptions.js';
import { ServedContent } from './ServedContent.js';

describe('ServedContent', () => {
  it('remembers content for a while after it was last served', () => {
    const clock = new ManualClock();
    const served = new ServedContent(clock);
    served.add('a');
    clock.advance(quarantineOptions.servedRetention - 1);
    served.add('b');
    expect(served.has('a')).toBe(true);
    clock.advance(1);
    expect([served.has('a'), served.has('b')]).toEqual([false, true]);
  });

  it('evicts the least recently served content at its limit', () => {
    const served = new ServedContent(new ManualClock());
    served.add('first');
    served.add('common');
    for (let index = 0; index < quarantineOptions.maxServed; index += 1) {
      served.add(`f-${index}`);
      served.add('common');
    }
    expect(served.size).toBe(quarantineOptions.maxServed);
    expect([served.has('first'), served.has('common')]).toEqual([false, true]);
  });
});
