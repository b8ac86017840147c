import { reservePorts } from '@apricotrill/standins';
import { ManualClock, SystemClock, createRandom } from '@apricotrill/utils';
import { createSocket } from 'node:dgram';
import type { StorePosition } from '../../follow/StateFollower/ObjectSource.js';
import type { SharedAttempt } from '../../decide/messages.js';
import type { RelayEvent } from '../../observe/RelayEvent.js';
import { decodeDatagram } from '../datagram/datagram.js';
import type { PeerDirectory, PeerEntry } from '../PeerDirectory.js';
import type { PeerUpdate } from '../PeerUpdate.js';
import { PeerLink, peerLinkOptions } from './PeerLink.js';
import type { PeerLinkSettings } from './PeerLink.js';

/** A directory in memory. */
class MemoryDirectory implements PeerDirectory {
  readonly entries = new Map<string, PeerEntry>();

  register(entry: PeerEntry): Promise<void> {
    this.entries.set(entry.id, entry);
    return Promise.resolve();
  }

  remove(id: string): Promise<void> {
    this.entries.delete(id);
    return Promise.resolve();
  }

  list(): Promise<PeerEntry[]> {
    return Promise.resolve([...this.entries.values()]);
  }
}

/** Creates a map that fails the first time that its keys are read. */
function createFailingMap(): Map<string | undefined, SharedAttempt[]> {
  const map = new Map<string | undefined, SharedAttempt[]>();
  return Object.assign(map, {
    keys: () => {
      Reflect.deleteProperty(map, 'keys');
      throw new Error('provoked error');
    },
  });
}

const ATTEMPT: SharedAttempt = {
  key: 'r/1',
  replica: 'e-1',
  missingTokens: 100,
  memoryTokens: 100,
  isResponding: false,
};

describe('PeerLink', () => {
  const links: PeerLink[] = [];

  /** Creates a link, with records of its callbacks and `until` to wait for a condition on them. */
  async function createLink(
    id: string,
    directory: PeerDirectory,
    attempts: ReadonlyMap<string | undefined, SharedAttempt[]> = new Map(),
    periodicUpdates: PeerUpdate[] = [],
    capacity?: number,
    overrides: Partial<PeerLinkSettings> = {},
  ) {
    const fleets: string[][] = [];
    const capacities: (number | undefined)[][] = [];
    const received: PeerUpdate[] = [];
    const daemonCounts: number[] = [];
    const positions: Readonly<Record<string, StorePosition>>[] = [];
    const events: RelayEvent[] = [];
    const waiters: (() => void)[] = [];
    const wake = () => waiters.splice(0).forEach((resolve) => resolve());
    const [port] = await reservePorts(1);
    const address = `127.0.0.1:${port}`;
    const link = new PeerLink({
      self: { id, address, availabilityZone: 'zone-a', capacity },
      clock: new SystemClock(),
      random: createRandom(1),
      log: (event) => {
        events.push(event);
        wake();
      },
      directory,
      getPeriodicUpdates: () => periodicUpdates,
      getSharedAttempts: () => attempts,
      onUpdate: (_peer, update) => {
        received.push(update);
        wake();
      },
      onPeerLost: wake,
      onFleetChanged: (daemons) => {
        fleets.push(daemons.map((daemon) => daemon.id));
        capacities.push(daemons.map((daemon) => daemon.capacity));
        wake();
      },
      getStorePositions: () => ({ replicas: { era: 2, revision: 7 } }),
      onStorePositions: (peerPositions) => {
        positions.push(peerPositions);
        wake();
      },
      onClockReading: () => undefined,
      onDaemonCount: (daemons) => {
        daemonCounts.push(daemons);
        wake();
      },
      ...overrides,
    });
    links.push(link);
    await link.listen();
    link.start();
    const until = async (isDone: () => boolean) => {
      while (!isDone()) {
        // eslint-disable-next-line no-await-in-loop
        await new Promise<void>((resolve) => {
          waiters.push(resolve);
        });
      }
    };
    return { link, received, events, daemonCounts, fleets, capacities, positions, until, address };
  }

  afterEach(() => links.splice(0).forEach((link) => link.dispose()));

  // Guards against daemons that are not found by those that start after a restore of the store.
  it('registers again when the directory has lost its entry', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('left', directory);
    await left.until(() => left.daemonCounts.length > 0);
    directory.entries.clear();
    left.link.registerAgain();
    await left.until(() => left.daemonCounts.length > 1);
    expect([...directory.entries.keys()]).toEqual(['left']);
  });

  // Guards against a daemon that sends no more updates after an error in one of them.
  it('goes on with its updates after an error', async () => {
    const directory = new MemoryDirectory();
    const other = await createLink('other', directory);
    await other.until(() => directory.entries.has('other'));
    const failing = await createLink('failing', directory, createFailingMap());
    await failing.until(() => failing.events.some(({ event }) => event === 'fault'));
    const received = other.positions.length;
    await other.until(() => other.positions.length > received + 3);
  });

  // Guards against a daemon that reads the directory no more after an error in what it tells others.
  it('goes on reading the directory after an error in a callback', async () => {
    const clock = new ManualClock();
    const counts: number[] = [];
    let resolveSecond: () => void;
    const second = new Promise<void>((resolve) => {
      resolveSecond = resolve;
    });
    const onDaemonCount = (daemons: number) => {
      counts.push(daemons);
      if (counts.length === 1) {
        throw new Error('provoked error');
      }
      resolveSecond();
    };
    const settings = { clock, onDaemonCount };
    const directory = new MemoryDirectory();
    const { events, until } = await createLink('d-1', directory, undefined, [], 1, settings);
    await until(() => events.some(({ event }) => event === 'fault'));
    expect(events).toContainEqual(
      expect.objectContaining({ event: 'fault', error: expect.stringContaining('PeerLink') }),
    );
    clock.advance(2 * peerLinkOptions.directoryInterval);
    await second;
    expect(counts).toEqual([1, 1]);
  });

  // Guards against an error that leaves the handler of the socket and counts against the whole process.
  it('logs an error in the handling of a datagram, and goes on', async () => {
    const directory = new MemoryDirectory();
    const other = await createLink('other', directory);
    await other.until(() => directory.entries.has('other'));
    let calls = 0;
    const onStorePositions = () => {
      calls += 1;
      throw new Error('provoked error');
    };
    const settings = { onStorePositions };
    const { events, until } = await createLink('failing', directory, undefined, [], 1, settings);
    await until(() => calls > 1);
    expect(events).toContainEqual(
      expect.objectContaining({ event: 'fault', step: 'peers: handle a message' }),
    );
  });

  // Guards against a daemon that goes on with an old fleet until the next daemon comes or goes.
  it('reports the fleet again after an error in the callback', async () => {
    const directory = new MemoryDirectory();
    const other = await createLink('other', directory);
    await other.until(() => directory.entries.has('other'));
    const fleets: string[][] = [];
    let resolveSecond: () => void;
    const second = new Promise<void>((resolve) => {
      resolveSecond = resolve;
    });
    const onFleetChanged = (daemons: PeerEntry[]) => {
      fleets.push(daemons.map(({ id }) => id));
      if (fleets.length === 1) {
        throw new Error('provoked error');
      }
      resolveSecond();
    };
    const settings = { onFleetChanged };
    const { events } = await createLink('failing', directory, undefined, [], 1, settings);
    await second;
    expect(fleets).toEqual([
      ['failing', 'other'],
      ['failing', 'other'],
    ]);
    expect(events).toContainEqual(
      expect.objectContaining({ event: 'fault', step: 'peers: report the fleet' }),
    );
  });

  // Guards against daemons that do not know of each other for half a minute after a common start:
  // each read the list before any of them had written its entry.
  it('lets daemons that start together find each other', async () => {
    const directory = new MemoryDirectory();
    const both = await Promise.all([createLink('d-1', directory), createLink('d-2', directory)]);
    await Promise.all(
      both.map(({ events, until }) =>
        until(() => events.some(({ event }) => event === 'peer-found')),
      ),
    );
    expect(both.map(({ link }) => link.livePeerCount)).toEqual([1, 1]);
  });

  it('sends updates at once, and repeats the attempts in flight to make up for lost datagrams', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('d-1', directory, new Map([[undefined, [ATTEMPT]]]));
    const right = await createLink('d-2', directory);
    await left.until(() => left.link.livePeerCount === 1);
    left.link.send({ kind: 'placed', attempt: ATTEMPT });
    await right.until(() => right.received.some(({ kind }) => kind === 'placed'));
    await right.until(() =>
      right.received.some(
        (update) => update.kind === 'attempt-list' && update.attempts.length === 1,
      ),
    );
    expect(right.positions[0]).toEqual({ replicas: { era: 2, revision: 7 } });
    expect(right.events.some(({ event }) => event === 'fault')).toBe(false);
  });

  it('announces its departure and removes its directory entry', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('d-1', directory);
    await createLink('d-2', directory);
    await left.until(() => left.link.livePeerCount === 1);
    await left.link.deregister();
    left.link.announceDeparture();
    expect([...directory.entries.keys()]).toEqual(['d-2']);
  });

  // Guards against traffic that grows with the size of the fleet: when each placement, first byte and
  // end was sent to all daemons, a load of five requests per second cost a tenth of a core per daemon.
  it('sends updates with a recipient to that daemon only, and so do refreshes', async () => {
    const directory = new MemoryDirectory();
    const names = Array.from({ length: 18 }, (_item, index) => `d-${index}`);
    const attempts = new Map([['d-1', [ATTEMPT]]]);
    const fleet = await Promise.all(names.map((name) => createLink(name, directory, attempts)));
    await Promise.all(
      fleet.map(({ link, until }) => until(() => link.livePeerCount === fleet.length - 1)),
    );
    const [first, second, third] = fleet as [
      (typeof fleet)[0],
      (typeof fleet)[0],
      (typeof fleet)[0],
    ];
    const refreshesBefore = third.positions.length;
    for (let index = 0; index < 100; index += 1) {
      const key = `r-${index}/1`;
      first.link.send({ kind: 'placed', attempt: { ...ATTEMPT, key } }, 'd-1');
      first.link.send({ kind: 'first-byte-received', key }, 'd-1');
      first.link.send({ kind: 'ended', key }, 'd-1');
    }
    const count = ({ received }: typeof first, kind: PeerUpdate['kind']) =>
      received.filter((update) => update.kind === kind).length;
    await second.until(() => count(second, 'placed') === 100 && count(second, 'ended') === 100);
    await third.until(() => third.positions.length > refreshesBefore);
    expect(third.received.filter(({ kind }) => kind !== 'attempt-list')).toEqual([]);
    const attemptsOfThird = third.received.flatMap((update) =>
      update.kind === 'attempt-list' ? update.attempts : [],
    );
    expect(attemptsOfThird).toEqual([]);
    expect(second.received).toContainEqual({ kind: 'attempt-list', attempts: [ATTEMPT] });
  });

  // Guards against datagrams that grow with the square of the fleet: each of hundreds of daemons
  // announced itself to all others, and after a power failure all of them did so at once.
  it('sends to a part of a large fleet at a time, and finds the others in the directory', async () => {
    const directory = new MemoryDirectory();
    const others = 200;
    const socket = createSocket('udp4');
    let datagrams = 0;
    socket.on('message', () => {
      datagrams += 1;
    });
    await new Promise<void>((resolve) => {
      socket.bind(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${socket.address().port}`;
    for (let index = 0; index < others; index += 1) {
      const id = `e-${index}`;
      directory.entries.set(id, { id, address, availabilityZone: 'zone-a' });
    }
    const { link, fleets, until } = await createLink('d-1', directory);
    await until(() => fleets.length > 0);
    socket.close();
    expect(link.livePeerCount).toBe(others);
    expect(fleets[0]).toHaveLength(others + 1);
    // One refresh at the start, and one after the directory has been read.
    expect(datagrams).toBeLessThanOrEqual(2 * peerLinkOptions.maxRecipients);
  });

  // Guards against daemons of a large fleet that know the loads of groups only from seconds ago.
  it('sends the loads of groups to all daemons of a large fleet with each refresh', async () => {
    const directory = new MemoryDirectory();
    const others = 3 * peerLinkOptions.maxRecipients;
    const socket = createSocket('udp4');
    const received: PeerUpdate['kind'][] = [];
    const isComplete = new Promise<void>((resolve) => {
      socket.on('message', (bytes) => {
        received.push(...decodeDatagram(bytes).updates.map(({ kind }) => kind));
        if (received.filter((kind) => kind === 'group-loads').length >= others) {
          resolve();
        }
      });
    });
    await new Promise<void>((resolve) => {
      socket.bind(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${socket.address().port}`;
    for (let index = 0; index < others; index += 1) {
      const id = `e-${index}`;
      directory.entries.set(id, { id, address, availabilityZone: 'zone-a' });
    }
    const loads = [{ group: 'llm/a', expectedWait: 80, room: 4 }];
    await createLink('d-1', directory, new Map(), [{ kind: 'group-loads', service: 'llm', loads }]);
    await isComplete;
    socket.close();
    const lists = received.filter((kind) => kind === 'attempt-list');
    expect(lists.length).toBeLessThanOrEqual(2 * peerLinkOptions.maxRecipients);
  });

  it('reports the live daemons once the fleet has settled', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('d-1', directory);
    await createLink('d-2', directory);
    await left.until(() => left.fleets.length > 0);
    expect(left.fleets).toEqual([['d-1', 'd-2']]);
  });

  // Guards against daemons that learn of others by a message and order placers without their capacity.
  it('learns the capacity of a daemon that is not in the directory', async () => {
    const right = await createLink('d-2', new MemoryDirectory());
    const known = new MemoryDirectory();
    known.entries.set('d-2', { id: 'd-2', address: right.address, availabilityZone: '' });
    await createLink('d-1', known, new Map(), [], 12.5);
    await right.until(() => right.capacities.at(-1)?.includes(12.5) === true);
    expect(right.fleets.at(-1)).toEqual(['d-2', 'd-1']);
    expect(right.events.some(({ event }) => event === 'fault')).toBe(false);
  });

  it('logs a fault for bytes that are not a datagram', async () => {
    const directory = new MemoryDirectory();
    const { events, until } = await createLink('d-1', directory);
    const [, port] = directory.entries.get('d-1')!.address.split(':');
    const socket = createSocket('udp4');
    socket.send('nonsense', Number(port), '127.0.0.1');
    await until(() => events.some(({ event }) => event === 'fault'));
    socket.close();
    expect(events.filter(({ event }) => event === 'fault')).toHaveLength(1);
  });
});
