import {
  HttpInstanceList,
  HttpPlatformStore,
  InstanceRole,
  InstanceState,
  MAX_VALUE_BYTES,
  StoreUnavailableError,
  ValueTooLargeError,
} from '@apricotrill/store';
import type { PlatformStore } from '@apricotrill/store';
import { ManualClock } from '@apricotrill/utils';
import { waitUntil } from '../../test/waitUntil.js';
import { createPlatformStandin } from './PlatformStandin.js';

const TIMEOUT = 1_000;

const WATCH_WAIT = 5_000;

const disposals: (() => Promise<void>)[] = [];

async function disposeAll(): Promise<void> {
  await Promise.all(disposals.splice(0).map((dispose) => dispose()));
}

/** Creates a stand-in and a client with manual clocks. */
async function setUp(connections = 4) {
  const serverClock = new ManualClock();
  const platform = createPlatformStandin({ clock: serverClock, listLag: 2_000 });
  const { host, port } = await platform.listen();
  const clock = new ManualClock();
  const url = `http://${host}:${port}`;
  const settings = { url, clock, connections, timeout: TIMEOUT, watchWait: WATCH_WAIT };
  const store = new HttpPlatformStore(settings);
  const list = new HttpInstanceList(settings);
  disposals.push(
    () => store.dispose(),
    () => list.dispose(),
    () => platform.dispose(),
  );
  return { platform, serverClock, clock, url, store, list };
}

/** Appends to a list object by conditional updates, reading it again if a response is lost. */
async function appendOnce(store: PlatformStore, key: string, identity: string): Promise<void> {
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- each attempt depends on the previous one
      const current = await store.get(key);
      const identities: string[] = JSON.parse(current?.value ?? '[]');
      if (identities.includes(identity)) {
        return;
      }
      const value = JSON.stringify([...identities, identity]);
      // eslint-disable-next-line no-await-in-loop
      await store.put(key, value, current?.version ?? 0);
    } catch (error) {
      expect(error).toBeInstanceOf(StoreUnavailableError);
    }
  }
}

afterEach(disposeAll);

describe('PlatformStandin behind HttpPlatformStore', () => {
  it('applies concurrent changes exactly once although responses are lost', async () => {
    // Guards against changes that are duplicated or lost when several clients write concurrently
    // and retry after lost responses, because a write is not bound to the version it read.
    const { platform, url, store } = await setUp();
    const other = new HttpPlatformStore({ url });
    disposals.push(() => other.dispose());
    platform.applyFault({ kind: 'lose-answers', count: 6 });
    const names = Array.from({ length: 12 }, (_, index) => `change-${index}`);
    await Promise.all(
      names.map((name, index) => appendOnce(index % 2 ? store : other, 'all', name)),
    );
    const stored: string[] = JSON.parse((await store.get('all'))!.value);
    expect(stored.sort()).toEqual(names.sort());
  });

  it('completes watches on a change, or without one after their wait time', async () => {
    const { platform, serverClock, store } = await setUp();
    const woken = store.watch('config/', 0);
    const others = [store.watch('claims/', 0), store.watch('config/', 1)];
    await waitUntil(() => platform.getCounters().waitingWatches === 3);
    platform.objects.put('config/a', '1', 0);
    expect(await woken).toEqual([{ key: 'config/a', value: '1', version: 1 }]);
    serverClock.advance(WATCH_WAIT);
    expect(await Promise.all(others)).toEqual([[], []]);
    await waitUntil(() => platform.getCounters().waitingWatches === 0);
    expect(platform.getCounters()).toMatchObject({ reads: 0, watches: 3 });
  });

  it('serves calls while more watches are pending than there are connections', async () => {
    // Guards against calls that time out on a healthy platform because watches and calls share a
    // connection pool and pending watches occupy all its connections.
    const { platform, clock, store } = await setUp(2);
    const watches = Array.from({ length: 5 }, () => store.watch('', 0).catch((error) => error));
    await waitUntil(() => platform.getCounters().waitingWatches === 5);
    expect(await store.get('a')).toBeUndefined();
    clock.advance(WATCH_WAIT + TIMEOUT);
    (await Promise.all(watches)).forEach((end) =>
      expect(end).toBeInstanceOf(StoreUnavailableError),
    );
  });

  it('times out a watch that the platform accepts and never answers', async () => {
    // Guards against a daemon that never receives a new configuration: the platform loses a watch
    // while its connection stays open, and the client has no timeout for watches.
    const { platform, clock, store } = await setUp();
    platform.applyFault({ kind: 'silent-watches' });
    const watch = store.watch('config/', 0).catch((error) => error);
    await waitUntil(() => platform.getCounters().waitingWatches === 1);
    platform.objects.put('config/a', '1', 0);
    clock.advance(WATCH_WAIT + TIMEOUT);
    expect(await watch).toBeInstanceOf(StoreUnavailableError);
    platform.applyFault({ kind: 'up' });
    expect(await store.watch('config/', 0)).toHaveLength(1);
  });

  it('replaces all connections once one of them has gone silent', async () => {
    // Guards against a series of timeouts while the platform is up: four connections go silent at
    // once, and each failed call closes only its own connection, so that the next call uses another
    // silent one.
    const { platform, clock, store } = await setUp();
    platform.applyFault({ kind: 'slow', delayMs: 0 });
    await Promise.all(Array.from({ length: 4 }, () => store.get('a')));
    platform.applyFault({ kind: 'silence-connections' });
    const silent = store.get('a').catch((error) => error);
    clock.advance(TIMEOUT);
    const error = await silent;
    expect(error).toBeInstanceOf(StoreUnavailableError);
    expect(error).toMatchObject({ step: 'store-get', peer: expect.stringMatching(/^127/) });
    expect(await store.get('a')).toBeUndefined();
    expect(store.getRenewals()).toBe(1);
  });

  it('times out a call to a slow platform, and ends a watch that its caller aborts', async () => {
    const { platform, clock, store } = await setUp();
    platform.applyFault({ kind: 'slow', delayMs: 60_000 });
    const put = store.put('a', '1', 0).catch((error) => error);
    await waitUntil(() => platform.objects.get('a') !== undefined);
    clock.advance(TIMEOUT);
    expect(await put).toBeInstanceOf(StoreUnavailableError);
    const abort = new AbortController();
    const watch = store.watch('b', 0, abort.signal).catch((error) => error);
    await waitUntil(() => platform.getCounters().waitingWatches === 1);
    abort.abort();
    expect(await watch).toBeInstanceOf(StoreUnavailableError);
    await waitUntil(() => platform.getCounters().waitingWatches === 0);
  });

  it('accepts a value of a megabyte, and rejects a larger one in client and server', async () => {
    const { platform, url, store } = await setUp();
    const largest = 'ä'.repeat(MAX_VALUE_BYTES / 2);
    expect(await store.put('a', largest, 0)).toEqual({ kind: 'accepted', version: 1 });
    await expect(store.put('b', `${largest}.`, 0)).rejects.toThrow(ValueTooLargeError);
    expect(platform.getCounters().writes).toBe(1);
    const headers = { 'if-none-match': '*' };
    const init = { method: 'PUT', body: `${largest}.`, headers };
    expect((await fetch(`${url}/objects/b`, init)).status).toBe(413);
  });

  it('lists instances with a lag', async () => {
    const { platform, serverClock, list } = await setUp();
    const role = InstanceRole.Daemon;
    const place = { availabilityZone: 'espoo', host: '127.0.0.1', port: 1 };
    const instance = { id: 'daemon-1', role, state: InstanceState.Live, ...place };
    platform.directory.set(instance);
    expect(await list.getInstances()).toEqual([]);
    serverClock.advance(2_000);
    expect(await list.getInstances()).toEqual([instance]);
    platform.applyFault({ kind: 'down' });
    await expect(list.getInstances()).rejects.toThrow(StoreUnavailableError);
  });
});
