import { ManualClock, createRandom } from '@apricotrill/utils';
import type { ObjectSource } from '../../follow/StateFollower/ObjectSource.js';
import type { RelayEvent } from '../../observe/RelayEvent.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { readerOptions } from '../readerOptions.js';
import { ReaderSelector } from '../ReaderSelector/ReaderSelector.js';
import { SharedSource } from './SharedSource.js';
import type { ReaderResult } from './SharedSource.js';

function createDaemons(count: number): PeerEntry[] {
  return Array.from({ length: count }, (_item, index) => ({
    id: `d-${index}`,
    address: `d-${index}:7000`,
    availabilityZone: 'a',
  }));
}

const NEVER = new AbortController().signal;

describe('SharedSource', () => {
  function setUp(
    read: (callCount: number) => ReaderResult<string> | Promise<ReaderResult<string>>,
    storeState: 'sound' | 'expired' | 'unavailable' | 'hanging' = 'sound',
  ) {
    const clock = new ManualClock();
    const daemons = createDaemons(20);
    const selectors = daemons.map((self) => {
      const selector = new ReaderSelector({ clock, random: createRandom(1), self });
      selector.setDaemons(daemons);
      return selector;
    });
    const calls: string[] = [];
    const log: RelayEvent[] = [];
    const store: ObjectSource<string> = {
      list: () => {
        calls.push('list');
        return Promise.resolve({ items: new Map([['a', 'one']]), revision: 5 });
      },
      watch: (_revision, _wait, signal) => {
        calls.push('watch');
        switch (storeState) {
          case 'sound':
            return Promise.resolve({ kind: 'changes', changes: [], revision: 6 });
          case 'expired':
            return Promise.resolve({ kind: 'history-expired' });
          case 'unavailable':
            return Promise.reject(new Error('store unavailable'));
          case 'hanging':
            return new Promise((_resolve, reject) => {
              signal.addEventListener('abort', () => reject(new Error('aborted')));
            });
          default:
            return storeState satisfies never;
        }
      },
    };
    const source = new SharedSource({
      dependency: 'replicas',
      store,
      selector: selectors.find(({ isReader }) => !isReader)!,
      readPeer: (_daemon, { since }) => {
        calls.push(`read ${since}`);
        return Promise.resolve(read(calls.length));
      },
      clock,
      sharedWait: 1_000,
      log: (event) => log.push(event),
    });
    return { clock, source, calls, log };
  }

  it('reads changes from a reader, and continues from the state that it returned', async () => {
    const { source, calls } = setUp((callCount) => ({
      kind: 'state',
      age: 0,
      transferTime: 0,
      state: {
        token: `t.${callCount}`,
        revision: 7,
        isWhole: callCount === 1,
        changes: [['a', 'two']],
      },
    }));
    const first = await source.watch(5, 8_000, NEVER);
    const second = await source.watch(7, 8_000, NEVER);
    expect(first).toEqual({ kind: 'list', list: { items: new Map([['a', 'two']]), revision: 7 } });
    expect(second).toEqual({
      kind: 'changes',
      changes: [{ name: 'a', item: 'two' }],
      revision: 7,
    });
    expect(calls).toEqual(['read ', 'read t.1']);
    expect(source.isDirect).toBe(false);
  });

  // Guards against changes of a restored store that are applied to a state of before.
  it('reads the whole state again when a reader reports a later era', async () => {
    const { source, calls } = setUp((callCount) => ({
      kind: 'state',
      age: 0,
      transferTime: 0,
      state: {
        token: `t.${callCount}`,
        revision: callCount === 1 ? 70 : 7,
        era: callCount === 1 ? 1 : 2,
        isWhole: callCount !== 2,
        changes: [['a', 'two']],
      },
    }));
    await source.watch(5, 8_000, NEVER);
    const second = await source.watch(70, 8_000, NEVER);
    expect(second).toMatchObject({ kind: 'list', list: { era: 2, revision: 7 } });
    expect(calls).toEqual(['read ', 'read t.1', 'read ']);
  });

  it('takes the state of a reader that states no age for as old as a reader may pass on', async () => {
    const state = { token: 't', revision: 7, isWhole: true, changes: [] };
    const { source } = setUp(() => ({ kind: 'state', age: undefined, transferTime: 200, state }));
    await source.watch(5, 8_000, NEVER);
    expect(source.age).toBe(1_000 + readerOptions.maxStaleness + 200);
  });

  // Guards against following a reader that has not noticed the restore of the store.
  it('does not use a reader that is an era behind', async () => {
    const { source, calls } = setUp((callCount) => ({
      kind: 'state',
      age: 0,
      transferTime: 0,
      state: {
        token: 't',
        revision: 70,
        era: callCount === 1 ? 2 : 1,
        isWhole: true,
        changes: [['a', 'two']],
      },
    }));
    await source.watch(5, 8_000, NEVER);
    expect(await source.watch(70, 8_000, NEVER)).toMatchObject({ kind: 'changes', revision: 6 });
    expect(calls.at(-1)).toBe('watch');
  });

  // Guards against a daemon that waits for one dead reader after the other, while changes take effect
  // elsewhere.
  it('reads the store at once when a reader does not respond', async () => {
    const { source, calls, log } = setUp(() => ({ kind: 'silent', error: new Error('late') }));
    expect(await source.watch(5, 8_000, NEVER)).toMatchObject({ kind: 'changes', revision: 6 });
    expect(calls).toEqual(['read ', 'watch']);
    expect(source.isDirect).toBe(true);
    expect(log).toContainEqual(expect.objectContaining({ event: 'reader-failed', error: 'late' }));
  });

  it('tries the other readers and then the store when readers refuse', async () => {
    const { source, calls } = setUp(() => ({ kind: 'refused' }));
    await source.watch(5, 8_000, NEVER);
    expect(calls.at(-1)).toBe('watch');
    expect(calls.slice(0, -1)).toEqual(['read ', 'read ', 'read ']);
  });

  // Guards against changes that come late because the one reader that was asked sends them in small parts.
  it('reads the store as well when the response of a reader takes long to arrive', async () => {
    const { clock, source, calls, log } = setUp(() => new Promise(() => {}));
    const watch = source.watch(5, 8_000, NEVER);
    clock.advance(1_999);
    await new Promise(setImmediate);
    expect(calls).toEqual(['read ']);
    clock.advance(1);
    expect(await watch).toMatchObject({ kind: 'changes', revision: 6 });
    expect(calls).toEqual(['read ', 'watch']);
    expect(log).toContainEqual(expect.objectContaining({ event: 'reader-overtaken' }));
  });

  it('uses the response of a reader that comes while the store is read as well', async () => {
    let respond: ((result: ReaderResult<string>) => void) | undefined;
    const response = new Promise<ReaderResult<string>>((resolve) => {
      respond = resolve;
    });
    const { clock, source, calls } = setUp(() => response, 'hanging');
    const watch = source.watch(5, 8_000, NEVER);
    clock.advance(2_000);
    await new Promise(setImmediate);
    expect(calls).toEqual(['read ', 'watch']);
    const state = { token: 't', revision: 7, isWhole: false, changes: [] };
    respond!({ kind: 'state', age: 0, transferTime: 0, state });
    expect(await watch).toMatchObject({ kind: 'changes', revision: 7 });
    expect(source.isDirect).toBe(false);
  });

  // Guards against a reader that passes on a state that it knows to be outdated as the current one.
  it('does not take an expired history for a confirmation of the known objects', async () => {
    const { clock, source } = setUp(() => ({ kind: 'refused' }), 'expired');
    await source.list();
    const confirmedAt = clock.now();
    clock.advance(3_000);
    expect(await source.watch(5, 8_000, NEVER)).toEqual({ kind: 'history-expired' });
    expect(source.confirmedAt).toBe(confirmedAt);
    expect(source.age).toBe(3_000);
  });

  // Guards against a daemon that pauses its calls to the store because it has ended one itself.
  it('does not count a call that was aborted as a failure of the store', async () => {
    const { source, calls } = setUp(() => ({ kind: 'refused' }), 'hanging');
    for (let index = 0; index < 2; index += 1) {
      const abort = new AbortController();
      const watch = source.watch(5, 8_000, abort.signal);
      // eslint-disable-next-line no-await-in-loop
      await new Promise(setImmediate);
      abort.abort();
      // eslint-disable-next-line no-await-in-loop
      await expect(watch).rejects.toThrow('aborted');
    }
    expect(calls.filter((call) => call === 'watch')).toHaveLength(2);
  });

  // Guards against calls of the whole fleet to a store that is down.
  it('does not call the store again at once while nobody can reach it', async () => {
    const { source, calls } = setUp(() => ({ kind: 'refused' }), 'unavailable');
    await expect(source.watch(5, 8_000, NEVER)).rejects.toThrow('store unavailable');
    await expect(source.watch(5, 8_000, NEVER)).rejects.toThrow('no reader reaches the store');
    expect(calls.filter((call) => call === 'watch')).toHaveLength(1);
  });
});
