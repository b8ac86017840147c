import { reservePorts } from '@apricotrill/standins';
import { SystemClock, createRandom } from '@apricotrill/utils';
import { ModelStore } from '../../test/ModelStore.js';
import type { ObjectSource } from '../follow/StateFollower/ObjectSource.js';
import type { RelayEvent } from '../observe/RelayEvent.js';
import type { PeerEntry } from '../peers/PeerDirectory.js';
import { readerOptions } from '../readers/readerOptions.js';
import { StoreLink } from './StoreLink.js';

const DAEMONS = 20;

const CHANGE_BOUND = 4_000;

/** A daemon's link, with what it knows and what it called. */
class LinkedDaemon {
  readonly log: RelayEvent[] = [];

  /** Calls of its own to the store. */
  calls = 0;

  /** Whether the store gives it errors in place of answers. */
  isAway = false;

  /** Objects that it knew again after they were gone. */
  readonly returned: string[] = [];

  private readonly gone = new Set<string>();

  /** Whether its watches get no answer, and no error either. */
  isUnheard = false;

  known: ReadonlyMap<string, number> = new Map();

  private readonly waits = new Set<() => void>();

  readonly link: StoreLink;

  constructor(
    readonly self: PeerEntry,
    store: ObjectSource<number>,
  ) {
    const clock = new SystemClock();
    const log = (event: RelayEvent) => {
      this.log.push(event);
      this.look();
    };
    this.link = new StoreLink({
      clock,
      random: createRandom(1),
      log,
      self,
      changeBound: CHANGE_BOUND,
    });
    this.source = {
      list: () => {
        this.calls += 1;
        return this.isAway ? Promise.reject(new Error('away')) : store.list();
      },
      watch: (revision, wait, signal) => {
        this.calls += 1;
        if (this.isAway) {
          return Promise.reject(new Error('away'));
        }
        return this.isUnheard ? new Promise(() => {}) : store.watch(revision, wait, signal);
      },
    };
  }

  private readonly source: ObjectSource<number>;

  async start(): Promise<void> {
    const [host, port] = this.self.address.split(':');
    await this.link.listen(host!, Number(port));
    this.link.follow('replicas', this.source, (items) => {
      [...this.known.keys()]
        .filter((name) => !items.has(name))
        .forEach((name) => this.gone.add(name));
      this.returned.push(...[...items.keys()].filter((name) => this.gone.has(name)));
      this.known = new Map(items);
      this.look();
    });
  }

  /** Whether it reads from a daemon, and not from this one. */
  isServedByOther(first: string): boolean {
    const { reader } = this.log.findLast((event) => event.event === 'reader') ?? {};
    return reader !== undefined && reader !== 'store' && reader !== first;
  }

  private look(): void {
    [...this.waits].forEach((look) => look());
  }

  /** Resolves once it knows an object with this value, or knows that there is none. */
  knows(name: string, value: number | undefined): Promise<void> {
    return this.until(() => this.known.get(name) === value);
  }

  /** Resolves once it is so, after a change of what it knows or a line of its log. */
  until(isSo: () => boolean): Promise<void> {
    return new Promise((resolve) => {
      const look = () => {
        if (isSo()) {
          this.waits.delete(look);
          resolve();
        }
      };
      this.waits.add(look);
      look();
    });
  }
}

function isReadFrom(reader: string) {
  return (event: RelayEvent) => event.event === 'reader' && event.reader === reader;
}

describe('StoreLink', () => {
  const daemons: LinkedDaemon[] = [];

  async function startFleet(store: ObjectSource<number>): Promise<void> {
    const ports = await reservePorts(DAEMONS);
    const entries = ports.map((port, index) => ({
      id: `d-${index}`,
      address: `127.0.0.1:${port}`,
      availabilityZone: 'a',
    }));
    daemons.push(...entries.map((self) => new LinkedDaemon(self, store)));
    daemons.forEach(({ link }) => link.setFleet(entries));
    await Promise.all(daemons.map((daemon) => daemon.start()));
  }

  /** What each daemon is told by the value, it is told of by its own road. */
  function allKnow(name: string, value: number | undefined): Promise<unknown> {
    return Promise.all(daemons.map((daemon) => daemon.knows(name, value)));
  }

  function countCalls(): number {
    return daemons.reduce((sum, { calls }) => sum + calls, 0);
  }

  afterEach(async () => {
    await Promise.all(daemons.splice(0).map(({ link }) => link.dispose()));
  });

  // Guards against calls to the store that grow with the fleet: each of many changes ended a watch of
  // every daemon, and cost a call of each.
  it('tells a fleet of a series of changes by the calls of one daemon', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    await startFleet(store);
    await allKnow('r-0', 0);
    const changes = 10;
    const before = countCalls();
    const clock = new SystemClock();
    const started = clock.now();
    for (let value = 1; value <= changes; value += 1) {
      store.write('r-0', value);
      // eslint-disable-next-line no-await-in-loop -- one change after the other is the load
      await allKnow('r-0', value);
    }
    // A daemon's way to its reader may begin with a refusal: then it reads once by itself, and the
    // daemons that it asked become readers.
    const readers = daemons.filter(({ link }) => link.isReader);
    expect(readers.length).toBeLessThanOrEqual(readerOptions.maxCandidates);
    const waits = Math.ceil((clock.now() - started) / (CHANGE_BOUND * readerOptions.waitShare));
    expect(countCalls() - before).toBeLessThanOrEqual(
      readers.length * (changes + 1 + waits) + DAEMONS,
    );
  });

  it('tells of an object that is gone', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 7);
    store.write('r-1', 8);
    await startFleet(store);
    await allKnow('r-0', 7);
    store.write('r-0', undefined);
    await allKnow('r-0', undefined);
    expect(daemons.map(({ known }) => known.get('r-1'))).toEqual(daemons.map(() => 8));
  });

  // Guards against requests to replicas that left seconds ago: the reader's own connection to the
  // store went silent, and it told the others all along that nothing had changed.
  it('goes on past a reader that hears nothing of the store', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    await startFleet(store);
    store.write('r-0', 1);
    await allKnow('r-0', 1);
    const readers = daemons.filter(({ link }) => link.isReader);
    readers.forEach((reader) => {
      Object.assign(reader, { isUnheard: true });
      daemons.splice(daemons.indexOf(reader), 1);
    });
    // The watches that wait are still answered, and the next ones are not.
    store.write('r-0', 2);
    await allKnow('r-0', 2);
    store.write('r-0', 3);
    await allKnow('r-0', 3);
    expect(daemons.flatMap(({ log }) => log)).toContainEqual(
      expect.objectContaining({ event: 'reader-failed' }),
    );
    await Promise.all(readers.map(({ link }) => link.dispose()));
  });

  // Guards against replicas that left and are used again: a reader that was cut off holds what was
  // deleted meanwhile for a while, as after an outage of the store, and told the others that it exists.
  it('does not bring back what was deleted while a reader was cut off', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    store.write('r-1', 1);
    await startFleet(store);
    store.write('r-0', 1);
    await allKnow('r-0', 1);
    const reader = daemons.find(({ link }) => link.isReader)!;
    daemons.splice(daemons.indexOf(reader), 1);
    reader.isAway = true;
    store.cutWatches();
    await reader.until(() => reader.log.some(({ event }) => event === 'dependency-lost'));
    store.write('r-1', undefined);
    await allKnow('r-1', undefined);
    const asked = daemons.find(({ log }) => log.some(isReadFrom(reader.self.id)))!;
    // Of the reader that stands in it has another state than the one that it knows of the first.
    for (let value = 10; !asked.isServedByOther(reader.self.id); value += 1) {
      store.write('r-0', value);
      // eslint-disable-next-line no-await-in-loop -- each change leads to a further read
      await allKnow('r-0', value);
    }
    const before = asked.log.filter(isReadFrom(reader.self.id)).length;
    reader.isAway = false;
    await reader.until(() => reader.log.some(({ event }) => event === 'replica-kept'));
    await asked.until(() => asked.log.filter(isReadFrom(reader.self.id)).length > before);
    store.write('r-0', 2);
    await allKnow('r-0', 2);
    expect(daemons.flatMap(({ returned }) => returned)).toEqual([]);
    await reader.link.dispose();
  });

  // Guards against daemons that learn of no change any more after their readers were killed.
  it('goes on without its readers', async () => {
    const store = new ModelStore(new SystemClock());
    store.write('r-0', 0);
    await startFleet(store);
    store.write('r-0', 1);
    await allKnow('r-0', 1);
    const readers = daemons.filter(({ link }) => link.isReader);
    await Promise.all(readers.map(({ link }) => link.dispose()));
    readers.forEach((reader) => daemons.splice(daemons.indexOf(reader), 1));
    store.write('r-0', 2);
    await allKnow('r-0', 2);
    expect(readers.length).toBeGreaterThanOrEqual(1);
  });
});
