import { reservePorts } from '@apricotrill/standins';
import { SystemClock, createRandom } from '@apricotrill/utils';
import { ModelStore } from '../../test/ModelStore.js';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { RelayEvent } from '../observe/RelayEvent.js';
import type { PeerEntry } from '../peers/PeerDirectory.js';
import { PeerServer } from '../peers/PeerServer/PeerServer.js';
import { throwFault } from '../../test/throwFault.js';
import { readerOptions } from '../readers/readerOptions.js';
import { StoreLink } from './StoreLink.js';

const DAEMON_COUNT = 20;

const CHANGE_BOUND = 4_000;

/** A daemon's store link, with the objects it received and the calls it made. */
class TestDaemon {
  readonly log: RelayEvent[] = [];

  /** Number of calls to the store itself. */
  storeCalls = 0;

  /** Whether calls to the store fail. */
  isStoreFailing = false;

  /** Objects that reappeared after their deletion. */
  readonly restored: string[] = [];

  private readonly deleted = new Set<string>();

  /** Whether watches of the store hang, with neither a response nor an error. */
  isStoreSilent = false;

  objects: ReadonlyMap<string, number> = new Map();

  private readonly conditions = new Set<() => void>();

  readonly link: StoreLink;

  readonly peerServer = new PeerServer(throwFault);

  constructor(
    readonly self: PeerEntry,
    store: ObjectSource<number>,
  ) {
    const clock = new SystemClock();
    const log = (event: RelayEvent) => {
      this.log.push(event);
      this.checkConditions();
    };
    this.link = new StoreLink({
      clock,
      random: createRandom(1),
      log,
      self,
      peerServer: this.peerServer,
      changeBound: CHANGE_BOUND,
      onRestored: () => undefined,
    });
    this.source = {
      list: () => {
        this.storeCalls += 1;
        return this.isStoreFailing ? Promise.reject(new Error('unavailable')) : store.list();
      },
      watch: (revision, wait, signal) => {
        this.storeCalls += 1;
        if (this.isStoreFailing) {
          return Promise.reject(new Error('unavailable'));
        }
        return this.isStoreSilent ? new Promise(() => {}) : store.watch(revision, wait, signal);
      },
    };
  }

  async dispose(): Promise<void> {
    this.peerServer.dispose();
    await this.link.dispose();
  }

  private readonly source: ObjectSource<number>;

  async start(): Promise<void> {
    const [host, port] = this.self.address.split(':');
    await this.peerServer.listen(host!, Number(port));
    this.link.follow('replicas', this.source, (items) => {
      [...this.objects.keys()]
        .filter((name) => !items.has(name))
        .forEach((name) => this.deleted.add(name));
      this.restored.push(...[...items.keys()].filter((name) => this.deleted.has(name)));
      this.objects = new Map(items);
      this.checkConditions();
    });
  }

  /** Whether it reads from a peer other than the given one. */
  readsFromOtherThan(previous: string): boolean {
    const { reader } = this.log.findLast((event) => event.event === 'reader') ?? {};
    return reader !== undefined && reader !== 'store' && reader !== previous;
  }

  private checkConditions(): void {
    [...this.conditions].forEach((check) => check());
  }

  /** Resolves once the object has this value; undefined waits for its deletion. */
  waitForValue(name: string, value: number | undefined): Promise<void> {
    return this.waitUntil(() => this.objects.get(name) === value);
  }

  /** Resolves once the condition holds; checked after each change of the objects and each log line. */
  waitUntil(condition: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const check = () => {
        if (condition()) {
          this.conditions.delete(check);
          resolve();
        }
      };
      this.conditions.add(check);
      check();
    });
  }
}

function isReadFrom(reader: string) {
  return (event: RelayEvent) => event.event === 'reader' && event.reader === reader;
}

describe('StoreLink', () => {
  const daemons: TestDaemon[] = [];

  async function startFleet(store: ObjectSource<number>): Promise<void> {
    const ports = await reservePorts(DAEMON_COUNT);
    const entries = ports.map((port, index) => ({
      id: `d-${index}`,
      address: `127.0.0.1:${port}`,
      availabilityZone: 'a',
    }));
    daemons.push(...entries.map((self) => new TestDaemon(self, store)));
    daemons.forEach(({ link }) => link.setFleet(entries));
    await Promise.all(daemons.map((daemon) => daemon.start()));
  }

  /** Resolves once every daemon has received the value. */
  function waitForAll(name: string, value: number | undefined): Promise<unknown> {
    return Promise.all(daemons.map((daemon) => daemon.waitForValue(name, value)));
  }

  function countCalls(): number {
    return daemons.reduce((sum, { storeCalls }) => sum + storeCalls, 0);
  }

  afterEach(async () => {
    await Promise.all(daemons.splice(0).map((daemon) => daemon.dispose()));
  });

  // Guards against a number of store calls that grows with the fleet: each change ended the watch of
  // every daemon and caused a new call from each.
  it('distributes a series of changes to a fleet with the store calls of a few readers', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    await startFleet(store);
    await waitForAll('r-0', 0);
    const changes = 10;
    const before = countCalls();
    const clock = new SystemClock();
    const started = clock.now();
    for (let value = 1; value <= changes; value += 1) {
      store.write('r-0', value);
      // eslint-disable-next-line no-await-in-loop -- the changes are sequential
      await waitForAll('r-0', value);
    }
    // A daemon's first calls to readers can be refused. It then reads from the store once, and the
    // daemons that it called become readers.
    const readers = daemons.filter(({ link }) => link.isReader);
    expect(readers.length).toBeLessThanOrEqual(readerOptions.maxCandidates);
    const waits = Math.ceil(
      (clock.now() - started) / (CHANGE_BOUND * readerOptions.sharedWaitRatio),
    );
    expect(countCalls() - before).toBeLessThanOrEqual(
      readers.length * (changes + 1 + waits) + DAEMON_COUNT,
    );
  });

  it('distributes the deletion of an object', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 7);
    store.write('r-1', 8);
    await startFleet(store);
    await waitForAll('r-0', 7);
    store.write('r-0', undefined);
    await waitForAll('r-0', undefined);
    expect(daemons.map(({ objects }) => objects.get('r-1'))).toEqual(daemons.map(() => 8));
  });

  // Guards against requests to replicas that left seconds ago: the reader's connection to the store
  // hung, and it kept reporting to the other daemons that nothing had changed.
  it('recovers from a reader whose store connection hangs', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    await startFleet(store);
    store.write('r-0', 1);
    await waitForAll('r-0', 1);
    const readers = daemons.filter(({ link }) => link.isReader);
    readers.forEach((reader) => {
      Object.assign(reader, { isStoreSilent: true });
      daemons.splice(daemons.indexOf(reader), 1);
    });
    // Watches that are already open still get a response; later ones do not.
    store.write('r-0', 2);
    await waitForAll('r-0', 2);
    store.write('r-0', 3);
    await waitForAll('r-0', 3);
    expect(daemons.flatMap(({ log }) => log)).toContainEqual(
      expect.objectContaining({ event: 'reader-failed' }),
    );
    await Promise.all(readers.map((daemon) => daemon.dispose()));
  });

  // Guards against requests to replicas that have left: a reader that lost its connection retains deleted
  // objects for a while, as after an outage of the store, and reported them to the other daemons.
  it('does not restore objects that were deleted while a reader was disconnected', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    store.write('r-1', 1);
    await startFleet(store);
    store.write('r-0', 1);
    await waitForAll('r-0', 1);
    const reader = daemons.find(({ link }) => link.isReader)!;
    daemons.splice(daemons.indexOf(reader), 1);
    reader.isStoreFailing = true;
    store.cutWatches();
    await reader.waitUntil(() => reader.log.some(({ event }) => event === 'dependency-lost'));
    store.write('r-1', undefined);
    await waitForAll('r-1', undefined);
    const client = daemons.find(({ log }) => log.some(isReadFrom(reader.self.id)))!;
    // The state from the substitute reader differs from the last state received from the first reader.
    for (let value = 10; !client.readsFromOtherThan(reader.self.id); value += 1) {
      store.write('r-0', value);
      // eslint-disable-next-line no-await-in-loop -- each change causes another read
      await waitForAll('r-0', value);
    }
    const before = client.log.filter(isReadFrom(reader.self.id)).length;
    reader.isStoreFailing = false;
    await reader.waitUntil(() => reader.log.some(({ event }) => event === 'replica-kept'));
    await client.waitUntil(() => client.log.filter(isReadFrom(reader.self.id)).length > before);
    store.write('r-0', 2);
    await waitForAll('r-0', 2);
    expect(daemons.flatMap(({ restored }) => restored)).toEqual([]);
    await reader.dispose();
  });

  // Guards against daemons that receive no more changes after their readers were killed.
  it('continues after the loss of its readers', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    await startFleet(store);
    store.write('r-0', 1);
    await waitForAll('r-0', 1);
    const readers = daemons.filter(({ link }) => link.isReader);
    await Promise.all(readers.map((daemon) => daemon.dispose()));
    readers.forEach((reader) => daemons.splice(daemons.indexOf(reader), 1));
    store.write('r-0', 2);
    await waitForAll('r-0', 2);
    expect(readers.length).toBeGreaterThanOrEqual(1);
  });
});
