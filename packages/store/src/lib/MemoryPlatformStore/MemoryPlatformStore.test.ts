import { ManualClock } from '@apricotrill/utils';
import { StoreUnavailableError } from '../PlatformStore.js';
import { MAX_VALUE_BYTES, ValueTooLargeError } from '../ValueTooLargeError.js';
import { MemoryPlatformStore } from './MemoryPlatformStore.js';

function setUp() {
  const clock = new ManualClock();
  const store = new MemoryPlatformStore({ clock, timeout: 100, watchWait: 1_000 });
  const other = new MemoryPlatformStore({ clock, objects: store.objects });
  return { clock, store, other };
}

/** Keeps a failed call's error for later, so that it is not unhandled meanwhile. */
async function getError(call: Promise<unknown>): Promise<unknown> {
  return call.then(
    () => undefined,
    (error: unknown) => error,
  );
}

describe('MemoryPlatformStore', () => {
  it('does not let a late write undo a newer one', async () => {
    // Symptom: a configuration reverts long after a newer one was accepted. Events: a write hangs
    // on its way, the writer gives up, another writes, the first write arrives. Cause: a write that
    // takes effect whatever has been written since.
    const { clock, store, other } = setUp();
    store.applyFault({ kind: 'late-writes', count: 1, delayMs: 5_000 });
    await expect(store.put('a', 'old', 0)).rejects.toThrow(StoreUnavailableError);
    expect(await store.get('a')).toBeUndefined();
    await other.put('a', 'new', 0);
    clock.advance(5_000);
    expect(await store.get('a')).toEqual({ key: 'a', value: 'new', version: 1 });
  });

  it('lets a late write take effect that nothing newer stands against', async () => {
    const { clock, store } = setUp();
    store.applyFault({ kind: 'late-writes', count: 1, delayMs: 5_000, keyPrefix: 'a' });
    await store.put('b', '1', 0);
    await expect(store.put('a', 'late', 0)).rejects.toThrow(StoreUnavailableError);
    clock.advance(5_000);
    expect(await store.get('a')).toEqual({ key: 'a', value: 'late', version: 2 });
  });

  it('answers late when slow, and not at all beyond the timeout', async () => {
    const { clock, store } = setUp();
    store.applyFault({ kind: 'slow', delayMs: 100 });
    const inTime = store.put('a', '1', 0);
    clock.advance(100);
    expect(await inTime).toEqual({ kind: 'accepted', version: 1 });
    store.applyFault({ kind: 'slow', delayMs: 101 });
    const tooLate = getError(store.put('a', '2', 1));
    clock.advance(100);
    expect(await tooLate).toMatchObject({ step: 'store-put', peer: 'memory' });
    expect(store.objects.get('a')).toMatchObject({ value: '2', version: 2 });
  });

  it('strikes one client and not the other', async () => {
    const { store, other } = setUp();
    const watch = getError(store.watch('', 0));
    store.applyFault({ kind: 'down' });
    expect(await watch).toBeInstanceOf(StoreUnavailableError);
    expect(await getError(store.get('a'))).toBeInstanceOf(StoreUnavailableError);
    expect(await other.get('a')).toBeUndefined();
    expect(store.getCounters()).toEqual({ reads: 0, writes: 0, watches: 1, waitingWatches: 0 });
  });

  it('ends a watch by a change, by its time, by silence and by its caller', async () => {
    const { clock, store, other } = setUp();
    const changed = store.watch('a', 0);
    const unchanged = store.watch('b', 0);
    await other.put('a', '1', 0);
    clock.advance(1_000);
    expect(await changed).toEqual([{ key: 'a', value: '1', version: 1 }]);
    expect(await unchanged).toEqual([]);
    store.applyFault({ kind: 'silent-watches' });
    const silent = getError(store.watch('a', 0));
    clock.advance(1_100);
    expect(await silent).toBeInstanceOf(StoreUnavailableError);
    const abort = new AbortController();
    const abandoned = getError(store.watch('b', 0, abort.signal));
    abort.abort();
    expect(await abandoned).toBeInstanceOf(StoreUnavailableError);
    expect(await getError(store.watch('b', 0, abort.signal))).toBeInstanceOf(StoreUnavailableError);
  });

  it('refuses a value over a megabyte and writes nothing', async () => {
    const { store } = setUp();
    const value = 'x'.repeat(MAX_VALUE_BYTES + 1);
    const error = await getError(store.put('a', value, 0));
    expect(error).toBeInstanceOf(ValueTooLargeError);
    expect(String(error)).toMatch(/the value of a has 1048577 bytes, the store takes 1048576/);
    expect(store.getCounters().writes).toBe(0);
  });
});
