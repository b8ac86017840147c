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
import { until } from '../../test/waitUntil.js';
import { createPlatformStandin } from './PlatformStandin.js';

const TIMEOUT = 1_000;

const WATCH_WAIT = 5_000;

const disposals: (() => Promise<void>)[] = [];

async function disposeAll(): Promise<void> {
  await Promise.all(disposals.splice(0).map((dispose) => dispose()));
}

/** A stand-in, and a client whose time moves only when told to. */
async function setUp(connections = 4) {
  const serverClock = new ManualClock();
  const platform = createPlatformStandin({ clock: serverClock, listLag: 2_000 });
  const { host, port } = await platform.listen();
  const clock = new ManualClock();
  const url = `http://${host}:${port}`;
  const setup = { url, clock, connections, timeout: TIMEOUT, watchWait: WATCH_WAIT };
  const store = new HttpPlatformStore(setup);
  const list = new HttpInstanceList(setup);
  disposals.push(
    () => store.dispose(),
    () => list.dispose(),
    () => platform.dispose(),
  );
  return { platform, serverClock, clock, url, store, list };
}

/** Adds one to a counter object by conditional updates, reading back whenever an answer is lost. */
async function addOne(store: PlatformStore, key: string, identity: string): Promise<void> {
  for (;;) {
    try {
      // eslint-disable-next-line no-await-in-loop -- each try follows from the one before
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
  it('applies each racing change exactly once though answers are lost', async () => {
    // Symptom: a change stands twice, or not at all, after several clients wrote at once.
    // Events: clients read the same version and write; some writes take effect and their answers
    // are lost; the writers ask again. Cause: a write that is not bound to the version it read.
    const { platform, url, store } = await setUp();
    const other = new HttpPlatformStore({ url });
    disposals.push(() => other.dispose());
    platform.applyFault({ kind: 'lose-answers', count: 6 });
    const names = Array.from({ length: 12 }, (_, index) => `change-${index}`);
    await Promise.all(names.map((name, index) => addOne(index % 2 ? store : other, 'all', name)));
    const stored: string[] = JSON.parse((await store.get('all'))!.value);
    expect(stored.sort()).toEqual(names.sort());
  });

  it('wakes watches on a change and ends them without one', async () => {
    const { platform, serverClock, store } = await setUp();
    const woken = store.watch('config/', 0);
    const others = [store.watch('claims/', 0), store.watch('config/', 1)];
    await until(() => platform.getCounters().waitingWatches === 3);
    platform.objects.put('config/a', '1', 0);
    expect(await woken).toEqual([{ key: 'config/a', value: '1', version: 1 }]);
    serverClock.advance(WATCH_WAIT);
    expect(await Promise.all(others)).toEqual([[], []]);
    await until(() => platform.getCounters().waitingWatches === 0);
    expect(platform.getCounters()).toMatchObject({ reads: 0, watches: 3 });
  });

  it('serves calls while more watches wait than there are connections', async () => {
    // Symptom: every call times out on a healthy platform. Events: a few watches are open; a read
    // is asked for. Cause: watches and calls on one pool, whose connections all wait.
    const { platform, clock, store } = await setUp(2);
    const watches = Array.from({ length: 5 }, () => store.watch('', 0).catch((error) => error));
    await until(() => platform.getCounters().waitingWatches === 5);
    expect(await store.get('a')).toBeUndefined();
    clock.advance(WATCH_WAIT + TIMEOUT);
    (await Promise.all(watches)).forEach((end) =>
      expect(end).toBeInstanceOf(StoreUnavailableError),
    );
  });

  it('finds a watch that was taken and is never answered', async () => {
    // Symptom: a daemon never hears of a new configuration. Events: the platform takes a watch and
    // then forgets it; the connection stays open. Cause: a watch without a time limit at the client.
    const { platform, clock, store } = await setUp();
    platform.applyFault({ kind: 'silent-watches' });
    const watch = store.watch('config/', 0).catch((error) => error);
    await until(() => platform.getCounters().waitingWatches === 1);
    platform.objects.put('config/a', '1', 0);
    clock.advance(WATCH_WAIT + TIMEOUT);
    expect(await watch).toBeInstanceOf(StoreUnavailableError);
    platform.applyFault({ kind: 'up' });
    expect(await store.watch('config/', 0)).toHaveLength(1);
  });

  it('replaces all connections once one of them has gone silent', async () => {
    // Symptom: call after call times out though the platform is up. Events: four connections go
    // silent at once; each call takes the next of them. Cause: only the connection of the failed
    // call is given up, and the others are as dead.
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

  it('ends a call that a slow platform answers too late, and a watch its caller gives up', async () => {
    const { platform, clock, store } = await setUp();
    platform.applyFault({ kind: 'slow', delayMs: 60_000 });
    const put = store.put('a', '1', 0).catch((error) => error);
    await until(() => platform.objects.get('a') !== undefined);
    clock.advance(TIMEOUT);
    expect(await put).toBeInstanceOf(StoreUnavailableError);
    const abort = new AbortController();
    const watch = store.watch('b', 0, abort.signal).catch((error) => error);
    await until(() => platform.getCounters().waitingWatches === 1);
    abort.abort();
    expect(await watch).toBeInstanceOf(StoreUnavailableError);
    await until(() => platform.getCounters().waitingWatches === 0);
  });

  it('takes a value of a megabyte and refuses a larger one on both sides', async () => {
    const { platform, url, store } = await setUp();
    const largest = 'ä'.repeat(MAX_VALUE_BYTES / 2);
    expect(await store.put('a', largest, 0)).toEqual({ kind: 'accepted', version: 1 });
    await expect(store.put('b', `${largest}.`, 0)).rejects.toThrow(ValueTooLargeError);
    expect(platform.getCounters().writes).toBe(1);
    const headers = { 'if-none-match': '*' };
    const init = { method: 'PUT', body: `${largest}.`, headers };
    expect((await fetch(`${url}/objects/b`, init)).status).toBe(413);
  });

  it('lists instances behind their time', async () => {
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
