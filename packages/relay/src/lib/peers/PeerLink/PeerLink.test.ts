import { reservePorts } from '@apricotrill/standins';
import { SystemClock, createRandom } from '@apricotrill/utils';
import { createSocket } from 'node:dgram';
import type { SharedAttempt } from '../../decide/messages.js';
import type { RelayEvent } from '../../observe/RelayEvent.js';
import type { PeerDirectory, PeerEntry } from '../PeerDirectory.js';
import type { PeerUpdate } from '../PeerUpdate.js';
import { PeerLink, linkOptions } from './PeerLink.js';

/** The platform's entries, in memory. */
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

const ATTEMPT: SharedAttempt = {
  key: 'r/1',
  replica: 'e-1',
  missingTokens: 100,
  memoryTokens: 100,
  isAnswering: false,
};

describe('PeerLink', () => {
  const links: PeerLink[] = [];

  /** A link, and a wait for what it hears or logs. */
  async function createLink(
    id: string,
    directory: PeerDirectory,
    attempts: ReadonlyMap<string | undefined, SharedAttempt[]> = new Map(),
  ) {
    const fleets: string[][] = [];
    const heard: PeerUpdate[] = [];
    const counts: number[] = [];
    const seen: Readonly<Record<string, number>>[] = [];
    const events: RelayEvent[] = [];
    const waits: (() => void)[] = [];
    const wake = () => waits.splice(0).forEach((wait) => wait());
    const [port] = await reservePorts(1);
    const link = new PeerLink({
      self: { id, address: `127.0.0.1:${port}`, availabilityZone: 'zone-a' },
      clock: new SystemClock(),
      random: createRandom(1),
      log: (event) => {
        events.push(event);
        wake();
      },
      directory,
      getPeriodicUpdates: () => [],
      getSharedAttempts: () => attempts,
      onUpdate: (_peer, news) => {
        heard.push(news);
        wake();
      },
      onPeerLost: wake,
      onFleetChanged: (daemons) => {
        fleets.push(daemons.map((daemon) => daemon.id));
        wake();
      },
      getStoreRevisions: () => ({ replicas: 7 }),
      onStoreRevisions: (changes) => {
        seen.push(changes);
        wake();
      },
      onClockReading: () => undefined,
      onDaemonCount: (daemons) => {
        counts.push(daemons);
        wake();
      },
    });
    links.push(link);
    await link.start();
    const until = async (isDone: () => boolean) => {
      while (!isDone()) {
        // eslint-disable-next-line no-await-in-loop
        await new Promise<void>((resolve) => {
          waits.push(resolve);
        });
      }
    };
    return { link, heard, events, counts, fleets, seen, until };
  }

  afterEach(() => links.splice(0).forEach((link) => link.dispose()));

  // Symptom: for half a minute after a start daemons place as if each were alone. Sequence: all
  // start in the same moment and read the list before any has written its entry. Cause: the entry
  // was written after the list was read.
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

  it('tells news at once, and everything again to make up for what was lost', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('d-1', directory, new Map([[undefined, [ATTEMPT]]]));
    const right = await createLink('d-2', directory);
    await left.until(() => left.link.livePeerCount === 1);
    left.link.send({ kind: 'placed', attempt: ATTEMPT });
    await right.until(() => right.heard.some(({ kind }) => kind === 'placed'));
    await right.until(() =>
      right.heard.some((news) => news.kind === 'attempt-list' && news.attempts.length === 1),
    );
    expect(right.seen[0]).toEqual({ replicas: 7 });
    expect(right.events.some(({ event }) => event === 'fault')).toBe(false);
  });

  it('leaves with word to the others, and without its entry', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('d-1', directory);
    await createLink('d-2', directory);
    await left.until(() => left.link.livePeerCount === 1);
    await left.link.deregister();
    left.link.announceDeparture();
    expect([...directory.entries.keys()]).toEqual(['d-2']);
  });

  // Symptom: daemons of a large fleet spend a tenth of a core on telling each other of five requests
  // a second. Sequence: each placement, first byte and end goes to all others. Cause: what a daemon
  // hears grows with the number of daemons.
  it('tells one daemon what is for it alone, also in the regular message', async () => {
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
    const seenBefore = third.seen.length;
    for (let index = 0; index < 100; index += 1) {
      const key = `r-${index}/1`;
      first.link.send({ kind: 'placed', attempt: { ...ATTEMPT, key } }, 'd-1');
      first.link.send({ kind: 'first-byte-received', key }, 'd-1');
      first.link.send({ kind: 'ended', key }, 'd-1');
    }
    const count = ({ heard }: typeof first, kind: PeerUpdate['kind']) =>
      heard.filter((news) => news.kind === kind).length;
    await second.until(() => count(second, 'placed') === 100 && count(second, 'ended') === 100);
    await third.until(() => third.seen.length > seenBefore);
    expect(third.heard.filter(({ kind }) => kind !== 'attempt-list')).toEqual([]);
    const all = third.heard.flatMap((news) => (news.kind === 'attempt-list' ? news.attempts : []));
    expect(all).toEqual([]);
    expect(second.heard).toContainEqual({ kind: 'attempt-list', attempts: [ATTEMPT] });
  });

  // Guards against datagrams that grow with the square of the fleet: each of hundreds of daemons told
  // all others that it is there, and after a loss of power all did at once.
  it('tells a part of a large fleet at a time, and knows the rest by the directory', async () => {
    const directory = new MemoryDirectory();
    const others = 200;
    const socket = createSocket('udp4');
    let arrived = 0;
    socket.on('message', () => {
      arrived += 1;
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
    // One refresh as it starts, and one as it has read the directory.
    expect(arrived).toBeLessThanOrEqual(2 * linkOptions.mostTold);
  });

  it('tells of the daemons that are heard, once it has settled', async () => {
    const directory = new MemoryDirectory();
    const left = await createLink('d-1', directory);
    await createLink('d-2', directory);
    await left.until(() => left.fleets.length > 0);
    expect(left.fleets).toEqual([['d-1', 'd-2']]);
  });

  it('takes bytes that are no news for what they are', async () => {
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
