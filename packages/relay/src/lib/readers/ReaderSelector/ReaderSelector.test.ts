import { ManualClock, createRandom } from '@apricotrill/utils';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { readerOptions } from '../readerOptions.js';
import { ReaderSelector } from './ReaderSelector.js';

function createDaemons(zones: Record<string, number>): PeerEntry[] {
  return Object.entries(zones).flatMap(([availabilityZone, count]) =>
    Array.from({ length: count }, (_item, index) => ({
      id: `${availabilityZone}-${index}`,
      address: `${availabilityZone}-${index}:7000`,
      availabilityZone,
    })),
  );
}

function createSelector(self: PeerEntry, daemons: PeerEntry[], clock = new ManualClock()) {
  const selector = new ReaderSelector({ clock, random: createRandom(1), self });
  selector.setDaemons(daemons);
  return selector;
}

/** Reads once while neither the readers nor the store respond, and counts the calls to the store. */
function countStoreCalls(selector: ReaderSelector): number {
  let calls = 0;
  for (
    let target = selector.selectTarget();
    target.kind !== 'no-source';
    target = selector.selectTarget()
  ) {
    if (target.kind === 'store') {
      calls += 1;
      selector.recordStoreFailure();
    } else {
      selector.recordReaderFailure(target.daemon, false);
    }
  }
  return calls;
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

describe('ReaderSelector', () => {
  // Guards against calls to the store that grow with the fleet because every daemon watches it.
  it('has one reader per availability zone in a large fleet', () => {
    const daemons = createDaemons({ a: 33, b: 32, c: 32, d: 33, e: 35, f: 30 });
    const readers = daemons.filter((self) => createSelector(self, daemons).isReader);
    expect(readers.map(({ availabilityZone }) => availabilityZone)).toEqual([
      'a',
      'b',
      'c',
      'd',
      'e',
      'f',
    ]);
  });

  // Guards against a large state that reaches a zone seconds late: its reader received it over a slow link, and
  // sent it over the same link to each daemon of the zone.
  it('prefers daemons on large instances as readers, and replaces them by others', () => {
    const daemons = createDaemons({ a: 20 }).map((daemon, index) => ({
      ...daemon,
      capacity: [4, 11].includes(index) ? 31.2 : 8.7,
    }));
    const readers = daemons.filter((self) => createSelector(self, daemons).isReader);
    expect(readers.map(({ capacity }) => capacity)).toEqual([31.2]);
    const selector = createSelector(daemons[0]!, daemons);
    const capacities = Array.from({ length: readerOptions.maxCandidates }, () => {
      const target = selector.selectTarget();
      const daemon = target.kind === 'daemon' ? target.daemon : undefined;
      selector.recordReaderFailure(daemon!, true);
      return daemon!.capacity;
    });
    expect(capacities).toEqual([31.2, 31.2, 8.7]);
  });

  it('has one reader for all zones that have few daemons', () => {
    const daemons = createDaemons({ a: 3, b: 3, c: 3, d: 3 });
    const readers = daemons.filter((self) => createSelector(self, daemons).isReader);
    expect(readers).toHaveLength(1);
  });

  it('lets every daemon of a small fleet read the store', () => {
    const daemons = createDaemons({ a: 4, b: 4 });
    const selectors = daemons.map((self) => createSelector(self, daemons));
    expect(selectors.every(({ isReader, hasReaders }) => isReader && !hasReaders)).toBe(true);
  });

  it('selects the reader of its own zone', () => {
    const daemons = createDaemons({ a: 40, b: 40 });
    const called = new Map<string, number>();
    daemons
      .filter(({ availabilityZone }) => availabilityZone === 'a')
      .forEach((self) => {
        const target = createSelector(self, daemons).selectTarget();
        if (target.kind === 'daemon') {
          called.set(target.daemon.id, (called.get(target.daemon.id) ?? 0) + 1);
          expect(target.daemon.availabilityZone).toBe('a');
        }
      });
    expect([...called.values()]).toEqual([39]);
  });

  it('reads the store itself while it knows no other daemons', () => {
    const [self] = createDaemons({ a: 1 });
    const selector = new ReaderSelector({
      clock: new ManualClock(),
      random: createRandom(1),
      self: self!,
    });
    expect(selector.selectTarget()).toEqual({ kind: 'store' });
  });

  // Guards against daemons that receive no changes after a power failure of all readers of their zone.
  it('tries the next readers and then the store when readers do not respond', () => {
    const daemons = createDaemons({ a: 20 });
    const self = daemons.find((daemon) => !createSelector(daemon, daemons).isReader)!;
    const selector = createSelector(self, daemons);
    const called = new Set<string>();
    for (
      let target = selector.selectTarget();
      target.kind === 'daemon';
      target = selector.selectTarget()
    ) {
      called.add(target.daemon.id);
      selector.recordReaderFailure(target.daemon, true);
    }
    expect(called.size).toBeGreaterThan(1);
    expect(selector.selectTarget()).toEqual({ kind: 'store' });
  });

  it('selects an unresponsive reader again after its cooldown', () => {
    const clock = new ManualClock();
    const daemons = createDaemons({ a: 20 });
    const self = daemons.find((daemon) => !createSelector(daemon, daemons).isReader)!;
    const selector = createSelector(self, daemons, clock);
    const first = selector.selectTarget();
    for (let target = first; target.kind === 'daemon'; target = selector.selectTarget()) {
      selector.recordReaderFailure(target.daemon, true);
    }
    clock.advance(readerOptions.silenceCooldown);
    expect(selector.selectTarget()).toEqual(first);
  });

  it('acts as a reader for a while after others have used it as one', () => {
    const clock = new ManualClock();
    const daemons = createDaemons({ a: 20 });
    const self = daemons.find((daemon) => !createSelector(daemon, daemons).isReader)!;
    const selector = createSelector(self, daemons, clock);
    selector.recordReaderRequest();
    expect(selector.selectTarget()).toEqual({ kind: 'store' });
    clock.advance(readerOptions.requestedReaderPeriod);
    expect(selector.selectTarget().kind).toBe('daemon');
  });

  // Guards against constant calls by all daemons of the fleet to a store that is down.
  it('limits the calls of all daemons of a zone to a store that is down', () => {
    const clock = new ManualClock();
    const daemons = createDaemons({ a: 32 });
    const selectors = daemons.map((self) => createSelector(self, daemons, clock));
    const others = selectors.filter(({ isReader }) => !isReader);
    const seconds = 20;
    const calls = Array.from({ length: seconds * 10 }, () => {
      clock.advance(100);
      return sum(others.map(countStoreCalls));
    });
    // The first call of each daemon is made at once.
    expect(sum(calls)).toBeLessThanOrEqual(
      others.length + readerOptions.maxStoreCallsPerSecond * seconds * 1.5,
    );
  });
});
