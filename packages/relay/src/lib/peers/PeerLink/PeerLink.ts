import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { getHash } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { fleetOptions } from '../../decide/Fleet/Fleet.js';
import type { SharedAttempt, PlacementUpdate } from '../../decide/messages.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import { decodeDatagram, encodeDatagram } from '../datagram/datagram.js';
import type { Datagram } from '../datagram/datagram.js';
import { Outbox } from '../Outbox/Outbox.js';
import type { PeerDirectory, PeerEntry } from '../PeerDirectory.js';
import type { PeerUpdate } from '../PeerUpdate.js';
import { PeerTable } from '../PeerTable/PeerTable.js';
import { Rotation } from '../Rotation/Rotation.js';

/** How often daemons talk. */
export const linkOptions = {
  /** Everything that is under way is told this often, since datagrams can be lost. */
  refresh: 1_000 satisfies Milliseconds,
  /** How often the directory is asked for daemons that were never heard. */
  relist: 30_000 satisfies Milliseconds,
  /** After the directory gave no answer. */
  pause: 500 satisfies Milliseconds,
  /**
   * Others that are told at each refresh, in turn, which bounds what the size of the fleet costs each
   * daemon. Those that choose replicas for this daemon's requests are told at each.
   */
  mostTold: 20,
  /** Others that came or went are told of together after this long: daemons start all at once. */
  settle: 200 satisfies Milliseconds,
  /** Breaks that a large fleet is told of at once, between two regular messages. */
  mostUrgent: 5,
};

/** Silence of so many of its regular messages makes a daemon count as gone. */
const SILENT_MESSAGES = 3.5;

/** What the link is made of. */
export interface PeerLinkParts {
  self: PeerEntry;
  clock: Clock;
  random: Random;
  log: RelayLog;
  directory: PeerDirectory;
  /**
   * What is under way, by the daemon that is to be told of it; undefined stands for those that none
   * is named for.
   */
  getSharedAttempts: () => ReadonlyMap<string | undefined, SharedAttempt[]>;
  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates: () => PlacementUpdate[];
  onUpdate: (peer: string, news: PeerUpdate) => void;
  /** What another daemon's clock said when it sent a message. */
  onClockReading: (peer: string, sentAt: Milliseconds) => void;
  onPeerLost: (peer: string) => void;
  /** The daemons that are heard, this one included. */
  onFleetChanged: (daemons: PeerEntry[]) => void;
  /** How many daemons there are, this one included; told once the directory is known. */
  onDaemonCount: (daemons: number) => void;
  /** The revisions of the store's last changes that this daemon has heard of, by kind. */
  getStoreRevisions: () => Record<string, number>;
  /** The same of another daemon. */
  onStoreRevisions: (changes: Readonly<Record<string, number>>) => void;
}

/** All that is under way, without prompts: these were told of before, and caches are read. */
function encodeAll(
  header: Pick<Datagram, 'from' | 'changes' | 'sentAt'>,
  attempts: readonly SharedAttempt[],
): Buffer {
  const told = attempts.map((attempt) => ({ ...attempt, prompt: undefined }));
  return encodeDatagram({ ...header, news: [{ kind: 'attempt-list', attempts: told }] });
}

function splitAddress(address: string): { host: string; port: number } {
  const [host, port] = address.split(':');
  return { host: host!, port: Number(port) };
}

/**
 * Tells the other daemons what this one has under way, and hears the same of them, in datagrams: a
 * lost one is put right by the next refresh, and nothing ever waits for a daemon that is gone.
 */
export class PeerLink {
  private readonly table: PeerTable;

  private readonly socket: Socket;

  private readonly outbox: Outbox;

  private settling: Timer | undefined;

  private refreshing: Timer | undefined;

  /** The pause before the next look at the directory. */
  private pausing: Timer | undefined;

  private isOver = false;

  private isRegistered = false;

  private readonly rotation: Rotation;

  /** Daemons that were told of attempts at the last refresh: they must hear that these are over. */
  private lastTold: string[] = [];

  /** Breaks that may be told before the next regular message. */
  private urgentLeft = linkOptions.mostUrgent;

  constructor(private readonly parts: PeerLinkParts) {
    this.table = new PeerTable(parts.self.id);
    this.rotation = new Rotation(getHash(parts.self.id));
    this.outbox = new Outbox({
      clock: parts.clock,
      send: (news, to) => this.sendTo(this.table.getAddresses(to), news),
    });
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

  /**
   * Tells one daemon, or all that are heard; what others may be waiting for at once, the rest soon.
   */
  send(news: PeerUpdate, to?: string): void {
    if (news.kind !== 'attempt-broken' || this.mayTellBreak()) {
      this.outbox.add(news, to);
    }
  }

  /** Takes its entry out of the directory; while it still talks, the others know it all the same. */
  async deregister(): Promise<void> {
    const { directory, self } = this.parts;
    await directory.remove(self.id).catch((error: unknown) => this.fault('unlist', error));
  }

  /** The others need not wait for its silence. */
  announceDeparture(): void {
    const addresses = this.table.ids.flatMap((id) => this.table.getAddresses(id));
    this.sendTo(addresses, [{ kind: 'attempt-list', attempts: [] }]);
  }

  dispose(): void {
    this.isOver = true;
    [this.settling, this.refreshing, this.pausing].forEach((timer) => timer?.cancel());
    this.outbox.dispose();
    this.socket.close();
  }

  get livePeerCount(): number {
    return this.table.liveIds.length;
  }

  /** Breaks are rare, and others act on them; when everything breaks they say nothing new. */
  private mayTellBreak(): boolean {
    if (this.livePeerCount < fleetOptions.maxSmallFleetSize) {
      return true;
    }
    if (this.urgentLeft === 0) {
      return false;
    }
    this.urgentLeft -= 1;
    return true;
  }

  /** Whether others are told in turn, and not all at once. */
  private get isLarge(): boolean {
    return this.table.ids.length > linkOptions.mostTold;
  }

  /** How long until each other daemon was told once. */
  private get roundSpan(): Milliseconds {
    const rounds = this.table.ids.length / linkOptions.mostTold;
    return Math.max(1, rounds) * linkOptions.refresh;
  }

  private refresh(): void {
    if (this.isOver) {
      return;
    }
    const { clock, onPeerLost: onGone, log } = this.parts;
    this.urgentLeft = linkOptions.mostUrgent;
    this.tellSome();
    const silence = this.roundSpan * SILENT_MESSAGES;
    this.table.takeSilent(clock.now(), silence).forEach((peer) => {
      log({ event: 'peer-lost', peer });
      onGone(peer);
      this.tellFleet();
    });
    this.refreshing = clock.setTimer(linkOptions.refresh, () => this.refresh());
  }

  /** Tells the next others in turn, and those that choose for this daemon. */
  private tellSome(): void {
    const all = this.parts.getSharedAttempts();
    const named = [...all.keys()].filter((id) => id !== undefined);
    const next = this.rotation.take(this.table.ids, linkOptions.mostTold);
    const told = new Set([...next, ...named, ...this.lastTold]);
    this.lastTold = named;
    this.tellAll([...told], all);
  }

  /** Tells what is under way; each daemon what it is to know, and none of it is empty news. */
  private tellAll(ids: readonly string[], all = this.parts.getSharedAttempts()): void {
    const { clock, getPeriodicUpdates: getRepeated, self } = this.parts;
    const header = { from: self, changes: this.parts.getStoreRevisions(), sentAt: clock.now() };
    const common = encodeAll(header, all.get(undefined) ?? []);
    // One datagram per item, to stay below the MTU.
    const repeated = getRepeated().map((news) => encodeDatagram({ from: self, news: [news] }));
    ids.forEach((id) => {
      const own = all.get(id);
      const bytes = own === undefined ? common : encodeAll(header, own);
      const addresses = this.table.getAddresses(id);
      [bytes, ...repeated].forEach((datagram) => this.sendBytes(addresses, datagram));
    });
  }

  private sendTo(addresses: readonly string[], news: PeerUpdate[]): void {
    this.sendBytes(addresses, encodeDatagram({ from: this.parts.self, news }));
  }

  private sendBytes(addresses: readonly string[], bytes: Buffer): void {
    addresses.forEach((address) => {
      const { host, port } = splitAddress(address);
      // A datagram that can't be sent is one that was lost: the refresh covers it.
      this.socket.send(bytes, port, host, () => undefined);
    });
  }

  /** Tells who is heard, once it has settled. */
  private tellFleet(): void {
    const { clock, onFleetChanged: onFleet, self } = this.parts;
    this.settling ??= clock.setTimer(linkOptions.settle, () => {
      this.settling = undefined;
      onFleet([self, ...this.table.live]);
    });
  }

  private receive(bytes: Buffer): void {
    let datagram: Datagram;
    try {
      datagram = decodeDatagram(bytes);
    } catch (error) {
      this.fault('read', error);
      return;
    }
    if (datagram.from.id === this.parts.self.id) {
      return;
    }
    const { from, news, changes, sentAt } = datagram;
    const { clock, log, onUpdate: onNews } = this.parts;
    if (this.table.noteHeard(from, clock.now())) {
      log({ event: 'peer-found', peer: from.id, address: from.address });
      if (!this.isLarge) {
        this.tellAll([from.id]);
      }
      this.tellFleet();
    }
    if (sentAt !== undefined) {
      this.parts.onClockReading(from.id, sentAt);
    }
    news.forEach((item) => onNews(from.id, item));
    if (changes !== undefined) {
      this.parts.onStoreRevisions(changes);
    }
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
      this.parts.onDaemonCount(this.table.ids.length + 1);
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
    // What goes wrong without the presumption: after a loss of power all daemons of a large fleet tell
    // each other at once that they are there, while nobody is served.
    this.table.setListed(entries, now, entries.length > linkOptions.mostTold);
    this.tellFleet();
    // A daemon that starts need not wait for the next refresh to be known, and to know the others'
    // load: after a restart of all the first second has the most to place.
    this.tellSome();
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
