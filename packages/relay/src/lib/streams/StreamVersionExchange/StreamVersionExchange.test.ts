import { reservePorts } from '@apricotrill/standins';
import { SystemClock } from '@apricotrill/utils';
import { setTimeout as wait } from 'node:timers/promises';
import { createReplica } from '../../../test/fixtures.js';
import { RelayMetrics } from '../../observe/RelayMetrics.js';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { PeerServer } from '../../peers/PeerServer/PeerServer.js';
import { throwFault } from '../../../test/throwFault.js';
import { StreamVersionRecorder } from '../StreamVersionRecorder/StreamVersionRecorder.js';
import type { StreamVersionStore } from '../StreamVersionStore.js';
import { StreamVersions } from '../StreamVersions/StreamVersions.js';
import { StreamVersionExchange, VersionSource } from './StreamVersionExchange.js';

const HOST = '127.0.0.1';

/** Interval in milliseconds between two looks whether a message has arrived, and their maximum number. */
const POLL_INTERVAL = 5;
const MAX_POLLS = 2_000;

const STARTED = { ids: ['s-1'], service: 'app', softwareVersion: 'v1', isSplit: false };

const STORED = { id: 's-0', service: 'app', softwareVersion: 'v2' };

const RETURN = { id: 'r-1', resumes: 's-1', services: ['app'] };

describe('StreamVersionExchange', () => {
  /** Names under which streams were stored. */
  const stored = new Set<string>();

  const store: StreamVersionStore = {
    write: (name) => {
      stored.add(name);
      return Promise.resolve();
    },
    list: () => Promise.resolve(new Map([['d-9-1', [STORED]]])),
  };

  const disposals: (() => void | Promise<void>)[] = [];

  afterEach(async () => {
    await Promise.all(disposals.splice(0).map((dispose) => dispose()));
  });

  /** Starts a daemon's exchange; one of the release before has a port without this path. */
  async function start(id: string, isOld = false, isFirstStart = true) {
    const [port] = await reservePorts(1);
    const clock = new SystemClock();
    const peerServer = new PeerServer(throwFault);
    const self: PeerEntry = { id, address: `${HOST}:${port}`, availabilityZone: 'a' };
    const versions = new StreamVersions({ clock, isFirstStart, getListAge: () => 0 });
    const log = () => undefined;
    const recorder = new StreamVersionRecorder({ clock, log, store, daemon: id });
    const exchange = new StreamVersionExchange({
      clock,
      log,
      metrics: new RelayMetrics(),
      self,
      peerServer: isOld ? new PeerServer(throwFault) : peerServer,
      versions,
      recorder,
    });
    await peerServer.listen(HOST, port!);
    disposals.push(async () => {
      peerServer.dispose();
      await exchange.dispose();
    });
    const list = (...softwareVersions: string[]) =>
      exchange.setReplicas(
        softwareVersions.map((softwareVersion) =>
          createReplica(softwareVersion, { softwareVersion }),
        ),
      );
    return { self, versions, exchange, list };
  }

  type Daemon = Awaited<ReturnType<typeof start>>;

  function connect(...daemons: Daemon[]): void {
    const fleet = daemons.map(({ self }) => self);
    daemons.forEach(({ exchange }) => exchange.setFleet(fleet));
  }

  async function waitUntilTold({ versions }: Daemon): Promise<void> {
    for (let poll = 0; poll < MAX_POLLS && versions.find('s-1') === undefined; poll += 1) {
      // eslint-disable-next-line no-await-in-loop
      await wait(POLL_INTERVAL);
    }
    expect(versions.find('s-1')).toMatchObject({ softwareVersion: 'v1' });
  }

  it('tells other daemons of a stream while a service has several versions', async () => {
    const [first, second] = [await start('d-1'), await start('d-2')];
    connect(first, second);
    [first, second].forEach(({ list }) => list('v1', 'v2'));
    first.exchange.recordStart(STARTED);
    await waitUntilTold(second);
    expect(await second.exchange.find(RETURN)).toMatchObject({ softwareVersion: 'v1' });
  });

  it('tells them of earlier streams once a second version appears', async () => {
    const [first, second] = [await start('d-1'), await start('d-2')];
    connect(first, second);
    first.list('v1');
    first.exchange.recordStart(STARTED);
    await wait(50);
    expect(second.versions.find('s-1')).toBeUndefined();
    first.list('v1', 'v2');
    await waitUntilTold(second);
  });

  // Guards against streams that began before their daemon knew any other one, and were told to nobody.
  it('tells them of streams that began before they were known', async () => {
    const [first, second] = [await start('d-1'), await start('d-2')];
    first.list('v1', 'v2');
    first.exchange.recordStart(STARTED);
    connect(first, second);
    await waitUntilTold(second);
  });

  it('asks other daemons for a stream', async () => {
    const [first, second] = [await start('d-1'), await start('d-2')];
    connect(first, second);
    second.list('v1', 'v2');
    first.versions.record({ id: 's-1', service: 'app', softwareVersion: 'v1' });
    expect(await second.exchange.find(RETURN)).toEqual({
      kind: 'known',
      service: 'app',
      softwareVersion: 'v1',
      source: VersionSource.Peer,
    });
  });

  it('does not name a version of a service that the route does not send to', async () => {
    const daemon = await start('d-1');
    daemon.list('v1');
    daemon.versions.record({ id: 's-1', service: 'other', softwareVersion: 'v1' });
    expect(await daemon.exchange.find(RETURN)).toEqual({ kind: 'unknown' });
  });

  // Guards against a daemon that does not know of a version yet which another one already uses.
  it('does not take its only version for certain if another daemon knows of a second', async () => {
    const [first, second] = [await start('d-1'), await start('d-2')];
    connect(first, second);
    first.list('v1');
    expect(await first.exchange.find(RETURN)).toMatchObject({ source: 'only-version' });
    second.list('v1', 'v2');
    expect(await first.exchange.find(RETURN)).toEqual({ kind: 'unknown' });
  });

  it('takes the only version for certain if another daemon has watched for long enough', async () => {
    const [first, second] = [await start('d-1', false, false), await start('d-2')];
    first.list('v1');
    expect(await first.exchange.find(RETURN)).toEqual({ kind: 'unknown' });
    second.list('v1');
    connect(first, second);
    expect(await first.exchange.find(RETURN)).toMatchObject({ softwareVersion: 'v1' });
  });

  // Guards against a daemon that is cut off from all others, and guesses.
  it('knows nothing for certain if no other daemon answers', async () => {
    const [first, second] = [await start('d-1'), await start('d-2')];
    connect(first, second);
    first.list('v1');
    await Promise.all(disposals.splice(1).map((dispose) => dispose()));
    expect(await first.exchange.find(RETURN)).toEqual({ kind: 'unknown' });
  });

  // Guards against a rolling update: daemons of the release before neither hold nor know versions.
  it('goes by its own knowledge beside daemons that do not answer such questions', async () => {
    const [first, old] = [await start('d-1'), await start('d-2', true)];
    connect(first, old);
    first.list('v1');
    expect(await first.exchange.find(RETURN)).toMatchObject({ softwareVersion: 'v1' });
  });

  // Guards against streams that are refused after all daemons were lost at the same time.
  it('finds a stream that is stored, also before all that is stored has been read', async () => {
    const daemon = await start('d-1', false, false);
    daemon.list('v1', 'v2');
    daemon.exchange.load(false);
    const resumption = await daemon.exchange.find({ ...RETURN, resumes: 's-0' });
    expect(resumption).toMatchObject({ kind: 'known', softwareVersion: 'v2' });
  });

  it('has one daemon store each stream', async () => {
    stored.clear();
    const daemons = await Promise.all(['d-1', 'd-2', 'd-3'].map((id) => start(id)));
    connect(...daemons);
    daemons.forEach(({ exchange }) => exchange.load(true));
    daemons.forEach(({ list }) => list('v1', 'v2'));
    daemons.forEach(({ exchange }) => exchange.recordStart(STARTED));
    await Promise.all(daemons.map((daemon) => waitUntilTold(daemon)));
    for (let poll = 0; poll < MAX_POLLS && stored.size === 0; poll += 1) {
      // eslint-disable-next-line no-await-in-loop
      await wait(POLL_INTERVAL);
    }
    const recorders = new Set([...stored].map((name) => name.slice(0, 'd-1'.length)));
    expect(recorders.size).toBe(1);
  });
});
