import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import type { SharedAttempt, SharedNews } from '../../decide/messages.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import type { PeerDirectory, PeerEntry } from '../PeerDirectory.js';
import { PeerTable } from '../PeerTable/PeerTable.js';

/** How often daemons talk. */
export const linkOptions = {
  /** News that can wait goes out together after this long. */
  gather: 20 satisfies Milliseconds,
  /** Everything that is under way is told this often, since datagrams can be lost. */
  refresh: 1_000 satisfies Milliseconds,
  /** How often the directory is asked for daemons that were never heard. */
  relist: 30_000 satisfies Milliseconds,
  /** After the directory gave no answer. */
  pause: 500 satisfies Milliseconds,
  /** News in one datagram: it stays under the 1,500 bytes that pass in one piece. */
  newsPerDatagram: 5,
};

/** One datagram. */
interface Datagram {
  from: PeerEntry;
  news: SharedNews[];
}

/** What the link is made of. */
export interface PeerLinkParts {
  self: PeerEntry;
  clock: Clock;
  random: Random;
  log: RelayLog;
  directory: PeerDirectory;
  getAll: () => SharedAttempt[];
  onNews: (peer: string, news: SharedNews) => void;
  onGone: (peer: string) => void;
}

function splitAddress(address: string): { host: string; port: number } {
  const [host, port] = address.split(':');
  return { host: host!, port: Number(port) };
}

function isDatagram(value: unknown): value is Datagram {
  const { from, news } = (value ?? {}) as Partial<Datagram>;
  return typeof from?.id === 'string' && typeof from.address === 'string' && Array.isArray(news);
}

/**
 * Tells the other daemons what this one has under way, and hears the same of them, in datagrams: a
 * lost one is put right by the next refresh, and nothing ever waits for a daemon that is gone.
 */
export class PeerLink {
  private readonly table: PeerTable;

  private readonly socket: Socket;

  private pending: SharedNews[] = [];

  private gathering: Timer | undefined;

  private refreshing: Timer | undefined;

  /** The pause before the next look at the directory. */
  private pausing: Timer | undefined;

  private isOver = false;

  private isRegistered = false;

  constructor(private readonly parts: PeerLinkParts) {
    this.table = new PeerTable(parts.self.id);
    this.socket = createSocket('udp4');
    this.socket.on('message', (bytes) => this.receive(bytes));
    this.socket.on('error', (error) => this.fault('socket', error));
  }

  async start(): Promise<void> {
    const { host, port } = splitAddress(this.parts.self.address);
    await new Promise<void>((resolve) => {
      this.socket.bind(port, host, resolve);
    });
    this.refresh();
    this.follow().catch((error: unknown) => this.fault('follow', error));
  }

  /** Tells the others soon; a new placement at once, since they may be choosing right now. */
  tell(news: SharedNews): void {
    this.pending.push(news);
    if (news.kind === 'placed' || this.pending.length >= linkOptions.newsPerDatagram) {
      this.flush();
      return;
    }
    this.gathering ??= this.parts.clock.setTimer(linkOptions.gather, () => this.flush());
  }

  /** Takes its entry out of the directory; while it still talks, the others know it all the same. */
  async unlist(): Promise<void> {
    const { directory, self } = this.parts;
    await directory.remove(self.id).catch((error: unknown) => this.fault('unlist', error));
  }

  /** The others need not wait for its silence. */
  tellGone(): void {
    this.sendTo(this.table.all, [{ kind: 'all', attempts: [] }]);
  }

  dispose(): void {
    this.isOver = true;
    [this.gathering, this.refreshing, this.pausing].forEach((timer) => timer?.cancel());
    this.socket.close();
  }

  get livePeers(): number {
    return this.table.live.length;
  }

  private flush(): void {
    this.gathering?.cancel();
    this.gathering = undefined;
    const { pending } = this;
    this.pending = [];
    if (pending.length > 0) {
      this.sendTo(this.table.live, pending);
    }
  }

  private refresh(): void {
    if (this.isOver) {
      return;
    }
    const { clock, onGone, log } = this.parts;
    this.tellAll();
    this.table.takeSilent(clock.now()).forEach((peer) => {
      log({ event: 'peer-lost', peer });
      onGone(peer);
    });
    this.refreshing = clock.setTimer(linkOptions.refresh, () => this.refresh());
  }

  private tellAll(addresses = this.table.all): void {
    const attempts = this.parts.getAll().map((attempt) => ({ ...attempt, prompt: undefined }));
    this.sendTo(addresses, [{ kind: 'all', attempts }]);
  }

  private sendTo(addresses: readonly string[], news: SharedNews[]): void {
    const datagram: Datagram = { from: this.parts.self, news };
    const bytes = Buffer.from(JSON.stringify(datagram));
    addresses.forEach((address) => {
      const { host, port } = splitAddress(address);
      // A datagram that can't be sent is one that was lost: the refresh covers it.
      this.socket.send(bytes, port, host, () => undefined);
    });
  }

  private receive(bytes: Buffer): void {
    let datagram: unknown;
    try {
      datagram = JSON.parse(bytes.toString('utf8'));
    } catch (error) {
      this.fault('read', error);
      return;
    }
    if (!isDatagram(datagram) || datagram.from.id === this.parts.self.id) {
      return;
    }
    const { from, news } = datagram;
    const { clock, log, onNews } = this.parts;
    if (this.table.noteHeard(from, clock.now())) {
      log({ event: 'peer-found', peer: from.id, address: from.address });
      this.tellAll([from.address]);
    }
    news.forEach((item) => onNews(from.id, item));
  }

  /** Writes the own entry, finds the others, and looks again from time to time. */
  private async follow(): Promise<void> {
    const { clock, random } = this.parts;
    while (!this.isOver) {
      // eslint-disable-next-line no-await-in-loop
      const isFine = await this.look().catch((error: unknown) => {
        this.fault('directory', error);
        return false;
      });
      const span = isFine ? linkOptions.relist : linkOptions.pause;
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        this.pausing = clock.setTimer(span * (0.5 + random.next()), resolve);
      });
    }
  }

  private async look(): Promise<boolean> {
    const { clock, directory, self } = this.parts;
    // Written before the list is read: of two daemons that start together, the one that reads later
    // finds the other, and is heard by it.
    if (!this.isRegistered) {
      await directory.register(self);
    }
    const entries = await directory.list();
    this.isRegistered = entries.some(
      ({ id, address }) => id === self.id && address === self.address,
    );
    const now = clock.now();
    this.table.setListed(entries, now);
    // A daemon that starts need not wait for the next refresh to be known, and to know the others'
    // load: after a restart of all the first second has the most to place.
    this.tellAll();
    const forgotten = this.table.takeForgotten(now);
    if (this.table.isFirst) {
      await Promise.all(forgotten.map((id) => directory.remove(id)));
    }
    return true;
  }

  private fault(step: string, error: unknown): void {
    if (!this.isOver) {
      this.parts.log({ event: 'fault', step: `peers: ${step}`, error: String(error) });
    }
  }
}
