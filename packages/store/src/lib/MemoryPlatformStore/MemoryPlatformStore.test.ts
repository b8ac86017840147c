import { ManualClock } from '@apricotrill/utils';
import { StoreUnavailableError } from '../PlatformStore.js';
import { MAX_VALUE_BYTES, ValueTooLargeError } from '../ValueTooLargeError.js';
import { MemoryPlatformStore } from './MemoryPlatformStore.js';

function createStores() {
  const clock = new ManualClock();
  const store = new MemoryPlatformStore({ clock, timeout: 100, watchWait: 1_000 });
  const other = new MemoryPlatformStore({ clock, objects: store.objects });
  return { clock, store, other };
}

/** Catches the error of a call that fails later, so that it is not an unhandled rejection. */
async function getError(call: Promise<unknown>): Promise<unknown> {
  return call.then(
    () => undefined,
    (error: unknown) => error,
  );
}

describe('MemoryPlatformStore', () => {
  // A configuration reverted long after a newer one was accepted: a write was delayed, its writer
  // timed out, another client wrote, and then the first write arrived and took effect regardless.
  it('does not let a late write undo a newer one', async () => {
    const { clock, store, other } = createStores();
    store.applyFault({ kind: 'late-writes', count: 1, delayMs: 5_000 });
    await expect(store.put('a', 'old', 0)).rejects.toThrow(StoreUnavailableError);
    expect(await store.get('a')).toBeUndefined();
    await other.put('a', 'new', 0);
    clock.advance(5_000);
    expect(await store.get('a')).toEqual({ key: 'a', value: 'new', version: 1 });
  });

  it('lets a late write take effect if nothing newer was written', async () => {
    const { clock, store } = createStores();
    store.applyFault({ kind: 'late-writes', count: 1, delayMs: 5_000, keyPrefix: 'a' });
    await store.put('b', '1', 0);
    await expect(store.put('a', 'late', 0)).rejects.toThrow(StoreUnavailableError);
    clock.advance(5_000);
    expect(await store.get('a')).toEqual({ key: 'a', value: 'late', version: 2 });
  });

  it('responds late when slow, and fails beyond the timeout', async () => {
    const { clock, store } = createStores();
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

  it('injects a fault into one client only', async () => {
    const { store, other } = createStores();
    const watch = getError(store.watch('', 0));
    store.applyFault({ kind: 'down' });
    expect(await watch).toBeInstanceOf(StoreUnavailableError);
    expect(await getError(store.get('a'))).toBeInstanceOf(StoreUnavailableError);
    expect(await other.get('a')).toBeUndefined();
    expect(store.getCounters()).toEqual({ reads: 0, writes: 0, watches: 1, waitingWatches: 0 });
  });

  it('ends a watch on a change, at its end, on timeout and when its caller aborts', async () => {
    const { clock, store, other } = createStores();
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
    const aborted = getError(store.watch('b', 0, abort.signal));
    abort.abort();
    expect(await aborted).toBeInstanceOf(StoreUnavailableError);
    expect(await getError(store.watch('b', 0, abort.signal))).toBeInstanceOf(StoreUnavailableError);
  });

  it('rejects a value larger than 1 MiB and writes nothing', async () => {
    const { store } = createStores();
    const value = 'x'.repeat(MAX_VALUE_BYTES + 1);
    const error = await getError(store.put('a', value, 0));
    expect(error).toBeInstanceOf(ValueTooLargeError);
    expect(String(error)).toMatch(/the value of a has 1048577 bytes, the store takes 1048576/);
    expect(store.getCounters().writes).toBe(0);
  });
});
