import { ManualClock } from '@apricotrill/utils';
import { fragilityOptions } from '../fragilityOptions.js';
import { SlotShares } from './SlotShares.js';

const SERVICE = 'app';

function createShares(inFlight: Record<string, number>) {
  const clock = new ManualClock();
  const shares = new SlotShares({ clock, countInFlight: (daemon) => inFlight[daemon] ?? 0 });
  const refuse = (daemon: string, count: number, rank = 1) => {
    for (let index = 0; index < count; index += 1) {
      shares.recordRefusal(daemon, SERVICE, rank);
    }
  };
  return { clock, shares, refuse };
}

describe('SlotShares', () => {
  it('lets a daemon take any slot while no other got none', () => {
    const { shares, refuse } = createShares({ a: 7 });
    refuse('a', 5);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(true);
  });

  it('keeps a slot for a daemon that serves a smaller part of its requests', () => {
    const { shares, refuse } = createShares({ a: 6, b: 1 });
    refuse('b', 5);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(false);
    expect(shares.mayTake('b', SERVICE, 1)).toBe(true);
  });

  // Guards against daemons with few callers that get as many slots as those with many.
  it('divides the slots by the requests of the daemons', () => {
    const { shares, refuse } = createShares({ a: 4, b: 2 });
    refuse('a', 8);
    refuse('b', 4);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(true);
    expect(shares.mayTake('b', SERVICE, 1)).toBe(true);
  });

  it('keeps a slot for a more urgent request, whichever daemon has it', () => {
    const { shares, refuse } = createShares({ a: 1, b: 6 });
    refuse('b', 1, 0);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(false);
    expect(shares.mayTake('a', SERVICE, 0)).toBe(true);
  });

  it('keeps no slot for a less urgent request', () => {
    const { shares, refuse } = createShares({ a: 6, b: 0 });
    refuse('b', 5, 2);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(true);
  });

  // Guards against slots that stay free for a daemon that has stopped.
  it('keeps no slot for a daemon that does not ask again', () => {
    const { clock, shares, refuse } = createShares({ a: 6, b: 0 });
    refuse('b', 5);
    clock.advance(fragilityOptions.claimSpan);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(true);
  });

  it('keeps no slot for requests that have got one', () => {
    const { shares, refuse } = createShares({ a: 6, b: 0 });
    refuse('b', 2);
    shares.recordTaken('b', SERVICE);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(false);
    shares.recordTaken('b', SERVICE);
    expect(shares.mayTake('a', SERVICE, 1)).toBe(true);
  });
});
