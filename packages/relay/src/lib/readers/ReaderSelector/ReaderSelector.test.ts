import { ManualClock, createRandom } from '@apricotrill/utils';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { readerOptions } from '../readerOptions.js';
import { ReaderSelector } from '../ReaderSelector/ReaderSelector.js';

function createDaemons(zones: Record<string, number>): PeerEntry[] {
  return Object.entries(zones).flatMap(([availabilityZone, count]) =>
    Array.from({ length: count }, (_item, index) => ({
      id: `${availabilityZone}-${index}`,
      address: `${availabilityZone}-${index}:7000`,
      availabilityZone,
    })),
  );
}

function createChoice(self: PeerEntry, daemons: PeerEntry[], clock = new ManualClock()) {
  const choice = new ReaderSelector({ clock, random: createRandom(1), self });
  choice.setDaemons(daemons);
  return choice;
}

/** Reads as a daemon does while no reader and no store answers; counts the calls to the store. */
function countTries(choice: ReaderSelector): number {
  let tries = 0;
  for (let place = choice.choose(); place.kind !== 'no-source'; place = choice.choose()) {
    if (place.kind === 'store') {
      tries += 1;
      choice.noteStoreFailed();
    } else {
      choice.noteFailed(place.daemon, false);
    }
  }
  return tries;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

describe('ReaderChoice', () => {
  // Guards against calls to the store that grow with the fleet: every daemon watches it.
  it('reads the store by one daemon of each zone, whatever the size of the fleet', () => {
    const daemons = createDaemons({ a: 33, b: 32, c: 32, d: 33, e: 35, f: 30 });
    const readers = daemons.filter((self) => createChoice(self, daemons).isReader);
    expect(readers.map(({ availabilityZone }) => availabilityZone)).toEqual([
      'a',
      'b',
      'c',
      'd',
      'e',
      'f',
    ]);
  });

  it('has one reader for zones of few daemons', () => {
    const daemons = createDaemons({ a: 3, b: 3, c: 3, d: 3 });
    const readers = daemons.filter((self) => createChoice(self, daemons).isReader);
    expect(readers).toHaveLength(1);
  });

  it('reads the store by every daemon of a small fleet', () => {
    const daemons = createDaemons({ a: 4, b: 4 });
    const choices = daemons.map((self) => createChoice(self, daemons));
    expect(choices.every(({ isReader, hasReaders }) => isReader && !hasReaders)).toBe(true);
  });

  it('asks the reader of its own zone', () => {
    const daemons = createDaemons({ a: 40, b: 40 });
    const asked = new Map<string, number>();
    daemons
      .filter(({ availabilityZone }) => availabilityZone === 'a')
      .forEach((self) => {
        const place = createChoice(self, daemons).choose();
        if (place.kind === 'daemon') {
          asked.set(place.daemon.id, (asked.get(place.daemon.id) ?? 0) + 1);
          expect(place.daemon.availabilityZone).toBe('a');
        }
      });
    expect([...asked.values()]).toEqual([39]);
  });

  it('reads the store itself while it hears of nobody', () => {
    const [self] = createDaemons({ a: 1 });
    const choice = new ReaderSelector({
      clock: new ManualClock(),
      random: createRandom(1),
      self: self!,
    });
    expect(choice.choose()).toEqual({ kind: 'store' });
  });

  // Guards against daemons that learn of nothing once both readers of their zone have lost power.
  it('goes to the next, and then to the store, when readers give no answer', () => {
    const daemons = createDaemons({ a: 20 });
    const self = daemons.find((daemon) => !createChoice(daemon, daemons).isReader)!;
    const choice = createChoice(self, daemons);
    const asked = new Set<string>();
    for (let place = choice.choose(); place.kind === 'daemon'; place = choice.choose()) {
      asked.add(place.daemon.id);
      choice.noteFailed(place.daemon, true);
    }
    expect(asked.size).toBeGreaterThan(1);
    expect(choice.choose()).toEqual({ kind: 'store' });
  });

  it('asks a reader again that was silent, after a while', () => {
    const clock = new ManualClock();
    const daemons = createDaemons({ a: 20 });
    const self = daemons.find((daemon) => !createChoice(daemon, daemons).isReader)!;
    const choice = createChoice(self, daemons, clock);
    const first = choice.choose();
    for (let place = first; place.kind === 'daemon'; place = choice.choose()) {
      choice.noteFailed(place.daemon, true);
    }
    clock.advance(readerOptions.silentSpan);
    expect(choice.choose()).toEqual(first);
  });

  it('becomes a reader for a while when others take it for one', () => {
    const clock = new ManualClock();
    const daemons = createDaemons({ a: 20 });
    const self = daemons.find((daemon) => !createChoice(daemon, daemons).isReader)!;
    const choice = createChoice(self, daemons, clock);
    choice.recordReaderRequest();
    expect(choice.choose()).toEqual({ kind: 'store' });
    clock.advance(readerOptions.dutySpan);
    expect(choice.choose().kind).toBe('daemon');
  });

  // Guards against a store that is down and is called by every daemon of the fleet all the while.
  it('tries a store that is down a few times a second, all daemons of a zone together', () => {
    const clock = new ManualClock();
    const daemons = createDaemons({ a: 32 });
    const choices = daemons.map((self) => createChoice(self, daemons, clock));
    const others = choices.filter(({ isReader }) => !isReader);
    const seconds = 20;
    const tries = Array.from({ length: seconds * 10 }, () => {
      clock.advance(100);
      return sum(others.map(countTries));
    });
    // The first try of each comes at once.
    expect(sum(tries)).toBeLessThanOrEqual(
      others.length + readerOptions.triesPerSecond * seconds * 1.5,
    );
  });
});
