import { ManualClock } from '@apricotrill/utils';
import { setImmediate as settle } from 'node:timers/promises';
import { streamOptions } from '../streamOptions.js';
import type { StreamVersion } from '../StreamVersions/StreamVersions.js';
import type { StreamVersionStore } from '../StreamVersionStore.js';
import { StreamVersionRecorder } from './StreamVersionRecorder.js';

function createStream(id: string): StreamVersion {
  return { id, service: 'app', softwareVersion: 'v1' };
}

/** Keeps streams in memory, and fails on request. */
class MemoryStore implements StreamVersionStore {
  readonly stored = new Map<string, readonly StreamVersion[]>();

  isDown = false;

  writes = 0;

  write(name: string, streams: readonly StreamVersion[]): Promise<void> {
    this.writes += 1;
    this.stored.set(name, this.isDown ? (this.stored.get(name) ?? []) : streams);
    return this.isDown ? Promise.reject(new Error('down')) : Promise.resolve();
  }

  list(): Promise<ReadonlyMap<string, readonly StreamVersion[]>> {
    return this.isDown ? Promise.reject(new Error('down')) : Promise.resolve(new Map(this.stored));
  }
}

describe('StreamVersionRecorder', () => {
  let clock: ManualClock;
  let store: MemoryStore;
  let recorder: StreamVersionRecorder;

  function create(): StreamVersionRecorder {
    return new StreamVersionRecorder({ clock, log: () => undefined, store, daemon: 'd-1' });
  }

  /** Advances the clock, and lets the calls to the store end. */
  async function advance(duration: number): Promise<void> {
    const end = clock.now() + duration;
    while (clock.now() < end) {
      clock.advance(Math.min(streamOptions.writeInterval, end - clock.now()));
      // eslint-disable-next-line no-await-in-loop
      await settle();
    }
  }

  async function loadAgain(): Promise<string[]> {
    recorder.dispose();
    recorder = create();
    return (await recorder.load()).map(({ id }) => id);
  }

  beforeEach(() => {
    clock = new ManualClock(1_000_000);
    store = new MemoryStore();
    recorder = create();
    recorder.startEmpty();
  });

  it('stores streams in groups, and returns them to the next process', async () => {
    Array.from({ length: 50 }, (_item, index) => recorder.add(createStream(`s-${index}`)));
    await advance(streamOptions.writeInterval);
    expect(store.writes).toBe(1);
    expect(await loadAgain()).toHaveLength(50);
  });

  // Guards against streams that are forgotten while their callers may still take them up.
  it('keeps each stream for as long as it can be resumed', async () => {
    recorder.add(createStream('old'));
    for (let elapsed = 0; elapsed < streamOptions.minResumeTime; elapsed += 1_000) {
      recorder.add(createStream(`s-${elapsed}`));
      // eslint-disable-next-line no-await-in-loop
      await advance(1_000);
    }
    expect(await loadAgain()).toContain('old');
  });

  it('stores no more streams than can be resumed', async () => {
    for (let elapsed = 0; elapsed < 4 * streamOptions.minResumeTime; elapsed += 1_000) {
      recorder.add(createStream(`s-${elapsed}`));
      // eslint-disable-next-line no-await-in-loop
      await advance(1_000);
    }
    const seconds = streamOptions.minResumeTime / 1_000;
    expect((await loadAgain()).length).toBeLessThan(seconds * 1.2 + 1);
  });

  // Guards against new streams without room since all daemons tell of all that they know when a version appears.
  it('stores new streams although many are told again by all daemons', async () => {
    const known = Array.from({ length: 2_500 }, (_item, index) => createStream(`s-${index}`));
    const told = Array.from({ length: 8 }, () => known).flat();
    told.forEach((stream) => recorder.add(stream));
    recorder.add(createStream('new'));
    await advance(streamOptions.writeInterval);
    const loaded = await loadAgain();
    expect(loaded).toContain('new');
    expect(loaded).toHaveLength(2_501);
  });

  // Guards against a process that overwrites what the one before it has stored.
  it('keeps the streams of earlier processes of its daemon', async () => {
    recorder.add(createStream('first'));
    await advance(streamOptions.writeInterval);
    await loadAgain();
    recorder.add(createStream('second'));
    await advance(streamOptions.writeInterval);
    expect(await loadAgain()).toEqual(['first', 'second']);
    expect(await loadAgain()).toEqual(['first', 'second']);
  });

  it('writes streams again that the store did not take', async () => {
    store.isDown = true;
    recorder.add(createStream('s'));
    await advance(4 * streamOptions.writeInterval);
    store.isDown = false;
    await advance(streamOptions.writeInterval);
    expect(await loadAgain()).toEqual(['s']);
  });

  it('writes nothing before it has read what is stored', async () => {
    store.isDown = true;
    recorder.dispose();
    recorder = create();
    const loaded = recorder.load();
    recorder.add(createStream('s'));
    await advance(streamOptions.writeInterval);
    expect(store.writes).toBe(0);
    store.isDown = false;
    await advance(streamOptions.storeRetryDelay + streamOptions.writeInterval);
    await loaded;
    await advance(streamOptions.writeInterval);
    expect(store.writes).toBe(1);
  });
});
