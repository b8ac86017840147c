import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { bindTo } from '@apricotrill/lifecycle';
import { getHash } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random, Timer } from '@apricotrill/utils';
import { fleetOptions } from '../../decide/Fleet/Fleet.js';
import type { SharedAttempt } from '../../decide/messages.js';
import type { StorePosition } from '../../follow/StateFollower/ObjectSource.js';
import { getErrorText } from '../../observe/getErrorText.js';
import type { RelayLog } from '../../observe/RelayEvent.js';
import { decodeDatagram, encodeDatagram } from '../datagram/datagram.js';
import type { Datagram } from '../datagram/datagram.js';
import { Outbox } from '../Outbox/Outbox.js';
import type { PeerDirectory, PeerEntry } from '../PeerDirectory.js';
import type { PeerUpdate } from '../PeerUpdate.js';
import { PeerTable } from '../PeerTable/PeerTable.js';
import { Rotation } from '../Rotation/Rotation.js';

/** Options of the link between daemons. */
export const peerLinkOptions = {
  /** How often the attempts in flight are sent again, since datagrams can be lost. */
  refreshInterval: 1_000 satisfies Milliseconds,
  /** How often the directory is read, to find daemons that have not sent a message yet. */
  directoryInterval: 30_000 satisfies Milliseconds,
  /** Delay before the next attempt after a call to the directory has failed. */
  directoryRetryDelay: 500 satisfies Milliseconds,
  /**
   * Peers that each refresh is sent to, in rotation; it bounds the cost per daemon in a large fleet.
   * The placers of this daemon's requests receive every refresh in addition.
   */
  maxRecipients: 20,
  /** Delay in which changes of the fleet are combined, since daemons often start together. */
  fleetChangeDelay: 200 satisfies Milliseconds,
  /** Broken attempts that are announced at once between two refreshes, in a large fleet. */
  maxImmediateBreaks: 5,
};

/** A peer counts as lost once it has been silent for this many of its refreshes. */
const MAX_MISSED_REFRESHES = 3.5;

/** Settings of a peer link. */
export interface PeerLinkSettings {
  self: PeerEntry;
  clock: Clock;
  random: Random;
  log: RelayLog;
  directory: PeerDirectory;
  /**
   * Returns the attempts in flight, by the ID of the peer that they are sent to. The attempts under
   * `undefined` are sent to all peers that have no entry of their own.
   */
  getSharedAttempts: () => ReadonlyMap<string | undefined, SharedAttempt[]>;
  /** Returns the updates that are repeated with each refresh, since datagrams can be lost. */
  getPeriodicUpdates: () => PeerUpdate[];
  onUpdate: (peer: string, update: PeerUpdate) => void;
  /** Called with the reading of another daemon's clock at the time it sent a message. */
  onClockReading: (peer: string, sentAt: Milliseconds) => void;
  onPeerLost: (peer: string) => void;
  /** Called with the live daemons, including this one. */
  onFleetChanged: (daemons: PeerEntry[]) => void;
  /** Called with the number of known daemons, including this one, after each read of the directory. */
  onDaemonCount: (daemons: number) => void;
  /** Returns the store positions of the last changes known to this daemon, by kind of object. */
  getStorePositions: () => Record<string, StorePosition>;
  /** Called with the store positions that another daemon has sent. */
  onStorePositions: (positions: Readonly<Record<string, StorePosition>>) => void;
}

/**
 * Encodes the attempts in flight without their prompts: these have been sent before, and the caches
 * of the engines are read anyway.
 */
function encodeAttemptList(
  header: Pick<Datagram, 'from' | 'changes' | 'sentAt'>,
  attempts: readonly SharedAttempt[],
): Buffer {
  const withoutPrompts = attempts.map((attempt) => ({ ...attempt, prompt: undefined }));
  return encodeDatagram({
    ...header,
    updates: [{ kind: 'attempt-list', attempts: withoutPrompts }],
  });
}

/** Whether a regular update is sent to all peers at once, since it is outdated after a second. */
function isSentToAll({ kind }: PeerUpdate): boolean {
  return kind === 'group-loads';
}

function splitAddress(address: string): { host: string; port: number } {
  const [host, port] = address.split(':');
  return { host: host!, port: Number(port) };
}

/**
 * Exchanges updates with the other daemons in UDP datagrams. The next refresh makes up for a lost
 * datagram, and no operation waits for a daemon that has stopped.
 */
export class PeerLink {
  private readonly table: PeerTable;

  private readonly socket: Socket;

  private readonly outbox: Outbox;

  private fleetChangeTimer: Timer | undefined;

  private refreshTimer: Timer | undefined;

  /** Timer of the next read of the directory. */
  private directoryTimer: Timer | undefined;

  /** Ends the wait until the next read of the directory. */
  private wakeDirectory: (() => void) | undefined;

  private isDisposed = false;

  private isRegistered = false;

  /** Whether this daemon has ever written its entry to the directory. */
  private hasEntry = false;

  private readonly rotation: Rotation;

  /** Peers that the last refresh sent attempts of their own; they must learn that these have ended. */
  private lastAddressed: string[] = [];

  /** Broken attempts that may still be announced before the next refresh. */
  private remainingBreakAnnouncements = peerLinkOptions.maxImmediateBreaks;

  constructor(private readonly settings: PeerLinkSettings) {
    this.table = new PeerTable(settings.self.id);
    this.rotation = new Rotation(getHash(settings.self.id));
    this.outbox = new Outbox({
      clock: settings.clock,
      send: (updates, recipient) => this.sendUpdates(this.table.getAddresses(recipient), updates),
    });
    this.socket = createSocket('udp4');
    this.socket.on('message', (bytes) => {
      try {
        this.handleMessage(bytes);
      } catch (error) {
        this.logFault('handle a message', error);
      }
    });
  }

  /**
   * Makes one attempt to open the port.
   *
   * @throws the error of the system
   */
  async listen(): Promise<void> {
    const { host, port } = splitAddress(this.settings.self.address);
    await bindTo(this.socket, host, port);
    this.socket.on('error', (error) => this.logFault('socket', error));
  }

  /** Starts to exchange updates; the port must be open. */
  start(): void {
    this.refresh();
    this.followDirectory().catch((error: unknown) => this.logFault('follow', error));
  }

  /**
   * Sends an update to one peer, or to all live peers if there is no `recipient`. Urgent updates are
   * sent at once, others within a short delay.
   */
  send(update: PeerUpdate, recipient?: string): void {
    if (update.kind !== 'attempt-broken' || this.mayAnnounceBreak()) {
      this.outbox.add(update, recipient);
    }
  }

  /**
   * Removes this daemon's entry from the directory. Peers still know the daemon while it sends
   * messages.
   */
  async deregister(): Promise<void> {
    const { directory, self } = this.settings;
    if (!this.hasEntry) {
      // The entry, if there is one, is that of a process which holds the ports.
      return;
    }
    await directory.remove(self.id).catch((error: unknown) => this.logFault('deregister', error));
  }

  /**
   * Adds this daemon's entry to the directory again, since the store has come back from an older copy.
   * The delay is random, so that the daemons of a fleet don't write at the same moment.
   */
  registerAgain(): void {
    const { clock, random } = this.settings;
    this.isRegistered = false;
    this.directoryTimer?.cancel();
    this.directoryTimer = clock.setTimer(peerLinkOptions.refreshInterval * random.next(), () =>
      this.wakeDirectory?.(),
    );
  }

  /** Sends an empty list of attempts, so that peers need not wait until this daemon counts as lost. */
  announceDeparture(): void {
    const addresses = this.table.ids.flatMap((id) => this.table.getAddresses(id));
    this.sendUpdates(addresses, [{ kind: 'attempt-list', attempts: [] }]);
  }

  /** Closes the port, so that another process can open it. From then on, no daemon is in contact. */
  release(): void {
    if (this.isDisposed) {
      return;
    }
    const { clock, onPeerLost } = this.settings;
    this.close();
    this.table.expireSilent(clock.now(), Number.NEGATIVE_INFINITY).forEach(onPeerLost);
    this.settings.onFleetChanged([this.settings.self]);
  }

  dispose(): void {
    if (!this.isDisposed) {
      this.close();
    }
  }

  private close(): void {
    this.isDisposed = true;
    [this.fleetChangeTimer, this.refreshTimer, this.directoryTimer].forEach((timer) =>
      timer?.cancel(),
    );
    this.outbox.dispose();
    this.socket.close();
  }

  get livePeerCount(): number {
    return this.table.liveIds.length;
  }

  /**
   * Limits announcements of broken attempts in a large fleet. Peers act on them while they are rare;
   * when many attempts break at once, further ones add no information.
   */
  private mayAnnounceBreak(): boolean {
    if (this.livePeerCount < fleetOptions.maxSmallFleetSize) {
      return true;
    }
    if (this.remainingBreakAnnouncements === 0) {
      return false;
    }
    this.remainingBreakAnnouncements -= 1;
    return true;
  }

  /** Whether refreshes are sent to a few peers at a time rather than to all of them. */
  private get usesRotation(): boolean {
    return this.table.ids.length > peerLinkOptions.maxRecipients;
  }

  /** Time in which every peer receives at least one refresh. */
  private get rotationPeriod(): Milliseconds {
    const rounds = this.table.ids.length / peerLinkOptions.maxRecipients;
    return Math.max(1, rounds) * peerLinkOptions.refreshInterval;
  }

  private refresh(): void {
    if (this.isDisposed) {
      return;
    }
    // Errors must not end the refreshes: peers would take this daemon for lost.
    try {
      this.sendRefresh();
      this.expirePeers();
    } catch (error) {
      this.logFault('refresh', error);
    }
    const { refreshInterval } = peerLinkOptions;
    this.refreshTimer = this.settings.clock.setTimer(refreshInterval, () => this.refresh());
  }

  private expirePeers(): void {
    const { clock, onPeerLost, log } = this.settings;
    const maxSilence = this.rotationPeriod * MAX_MISSED_REFRESHES;
    this.table.expireSilent(clock.now(), maxSilence).forEach((peer) => {
      log({ event: 'peer-lost', peer });
      this.scheduleFleetChange();
      // An error must not keep the attempts of the other lost peers counted.
      try {
        onPeerLost(peer);
      } catch (error) {
        this.logFault('remove a peer', error);
      }
    });
  }

  /** Sends the attempts in flight to the next peers in the rotation and to this daemon's placers. */
  private sendRefresh(): void {
    this.remainingBreakAnnouncements = peerLinkOptions.maxImmediateBreaks;
    const attempts = this.settings.getSharedAttempts();
    const addressed = [...attempts.keys()].filter((id) => id !== undefined);
    const next = this.rotation.take(this.table.ids, peerLinkOptions.maxRecipients);
    const recipients = new Set([...next, ...addressed, ...this.lastAddressed]);
    this.lastAddressed = addressed;
    this.sendAttempts([...recipients], attempts);
  }

  /** Sends each peer the attempts that it needs to know; an empty list is sent as well. */
  private sendAttempts(ids: readonly string[], attempts = this.settings.getSharedAttempts()): void {
    const { clock, getPeriodicUpdates, self } = this.settings;
    const header = {
      from: { ...self, capacity: undefined },
      changes: this.settings.getStorePositions(),
      sentAt: clock.now(),
    };
    const common = encodeAttemptList(header, attempts.get(undefined) ?? []);
    // One datagram per update, to stay below the MTU.
    const updates = getPeriodicUpdates();
    const encode = (update: PeerUpdate) => encodeDatagram({ from: self, updates: [update] });
    const periodic = updates.filter((update) => !isSentToAll(update)).map(encode);
    const toAll = updates.filter(isSentToAll).map(encode);
    if (self.capacity !== undefined) {
      // In a datagram of its own, since daemons of the release before can't read it.
      periodic.push(encodeDatagram({ from: self, updates: [], sentAt: clock.now() }));
    }
    ids.forEach((id) => {
      const peerAttempts = attempts.get(id);
      const bytes = peerAttempts === undefined ? common : encodeAttemptList(header, peerAttempts);
      const addresses = this.table.getAddresses(id);
      [bytes, ...periodic].forEach((datagram) => this.sendBytes(addresses, datagram));
    });
    const all = (this.usesRotation ? this.table.liveIds : ids).flatMap((id) =>
      this.table.getAddresses(id),
    );
    toAll.forEach((datagram) => this.sendBytes(all, datagram));
  }

  private sendUpdates(addresses: readonly string[], updates: PeerUpdate[]): void {
    this.sendBytes(addresses, encodeDatagram({ from: this.settings.self, updates }));
  }

  private sendBytes(addresses: readonly string[], bytes: Buffer): void {
    if (this.isDisposed) {
      return;
    }
    addresses.forEach((address) => {
      const { host, port } = splitAddress(address);
      // A send error is treated as a lost datagram; the next refresh makes up for it.
      this.socket.send(bytes, port, host, () => undefined);
    });
  }

  /** Reports the live daemons after a delay in which further changes are combined. */
  private scheduleFleetChange(): void {
    const { clock, onFleetChanged, self } = this.settings;
    this.fleetChangeTimer ??= clock.setTimer(peerLinkOptions.fleetChangeDelay, () => {
      this.fleetChangeTimer = undefined;
      try {
        onFleetChanged([self, ...this.table.liveEntries]);
      } catch (error) {
        this.logFault('report the fleet', error);
        this.scheduleFleetChange();
      }
    });
  }

  private handleMessage(bytes: Buffer): void {
    let datagram: Datagram;
    try {
      datagram = decodeDatagram(bytes);
    } catch (error) {
      this.logFault('read', error);
      return;
    }
    if (datagram.from.id === this.settings.self.id) {
      return;
    }
    const { from, updates, changes: storePositions, sentAt } = datagram;
    const { clock, log, onUpdate } = this.settings;
    const lastCapacity = this.table.getCapacity(from.id);
    if (this.table.recordMessage(from, clock.now())) {
      log({ event: 'peer-found', peer: from.id, address: from.address });
      if (!this.usesRotation) {
        this.sendAttempts([from.id]);
      }
      this.scheduleFleetChange();
    }
    if (this.table.getCapacity(from.id) !== lastCapacity) {
      this.scheduleFleetChange();
    }
    if (sentAt !== undefined) {
      this.settings.onClockReading(from.id, sentAt);
    }
    updates.forEach((update) => {
      try {
        onUpdate(from.id, update);
      } catch (error) {
        this.logFault(`handle ${update.kind} of ${from.id}`, error);
      }
    });
    if (storePositions !== undefined) {
      this.settings.onStorePositions(storePositions);
    }
  }

  /** Registers this daemon in the directory, and reads the directory periodically. */
  private async followDirectory(): Promise<void> {
    const { clock, random } = this.settings;
    while (!this.isDisposed) {
      // eslint-disable-next-line no-await-in-loop
      const isSynced = await this.syncDirectory().catch((error: unknown) => {
        this.logFault('directory', error);
        return false;
      });
      this.reportDaemonCount();
      const interval = isSynced
        ? peerLinkOptions.directoryInterval
        : peerLinkOptions.directoryRetryDelay;
      // eslint-disable-next-line no-await-in-loop
      await new Promise<void>((resolve) => {
        this.wakeDirectory = resolve;
        this.directoryTimer = clock.setTimer(interval * (0.5 + random.next()), resolve);
      });
    }
  }

  private reportDaemonCount(): void {
    // Errors must not end the reads of the directory: this daemon would find no others.
    try {
      this.settings.onDaemonCount(this.table.ids.length + 1);
    } catch (error) {
      this.logFault('report the number of daemons', error);
    }
  }

  /** @returns whether the directory has the entry of this daemon */
  private async syncDirectory(): Promise<boolean> {
    const { clock, directory, self } = this.settings;
    // The entry is written before the list is read, so that of two daemons that start together at
    // least the one that reads later finds the other, and then sends it a message.
    if (!this.isRegistered) {
      this.hasEntry = true;
      await directory.register(self);
    }
    const entries = await directory.list();
    this.isRegistered = entries.some(
      ({ id, address }) => id === self.id && address === self.address,
    );
    const now = clock.now();
    // In a large fleet, listed daemons are assumed to be live. Otherwise, after a power failure, all
    // daemons would announce themselves to all others at once, while no request is served.
    this.table.setDirectoryEntries(entries, now, entries.length > peerLinkOptions.maxRecipients);
    this.scheduleFleetChange();
    // A starting daemon does not wait for the next refresh to become known and to learn the load of
    // its peers: after a restart of the whole fleet, most placements happen in the first second.
    this.sendRefresh();
    const evicted = this.table.evictUnseen(now);
    if (this.table.hasLowestId) {
      await Promise.all(evicted.map((id) => directory.remove(id)));
    }
    // An earlier process of this daemon may have removed the entry late.
    return this.isRegistered;
  }

  private logFault(step: string, error: unknown): void {
    if (!this.isDisposed) {
      this.settings.log({ event: 'fault', step: `peers: ${step}`, error: getErrorText(error) });
    }
  }
}
