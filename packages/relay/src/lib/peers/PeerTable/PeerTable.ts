import type { Milliseconds } from '@apricotrill/utils';
import type { PeerEntry } from '../PeerDirectory.js';

/** Options of the peer table. */
export const peerTableOptions = {
  /**
   * Time after which a peer that is not seen is removed from the table and the directory. It is
   * longer than the replacement of a machine by one with the same name takes.
   */
  evictAfter: 120_000 satisfies Milliseconds,
};

interface Peer {
  address: string;
  availabilityZone: string;
  capacity: number | undefined;
  /** When the peer was last known to run; undefined while it is not known to run. */
  lastSeenAt: Milliseconds | undefined;
  /** When the peer was found or, if later, lost; used only while `lastSeenAt` is undefined. */
  unseenSince: Milliseconds;
  /** Whether the peer itself has sent a message since it was found or lost. */
  hasSentMessage: boolean;
}

/** Tracks the other daemons of the fleet and which of them are live. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly self: string) {}

  /**
   * Adds the entries of the directory, and updates the addresses of peers that are not live.
   *
   * @param assumeLive - whether new peers count as live until they have been silent for too long; in
   *   a large fleet, it takes a while until each of them has sent a message
   */
  setDirectoryEntries(entries: readonly PeerEntry[], now: Milliseconds, assumeLive = false): void {
    const lastSeenAt = assumeLive ? now : undefined;
    entries
      .filter(({ id }) => id !== this.self)
      .forEach(({ id, address, availabilityZone, capacity }) => {
        const peer = this.peers.get(id);
        if (peer === undefined) {
          this.peers.set(id, {
            address,
            availabilityZone,
            capacity,
            lastSeenAt,
            unseenSince: now,
            hasSentMessage: false,
          });
        } else if (peer.lastSeenAt === undefined) {
          Object.assign(peer, { address, availabilityZone, capacity });
        } else {
          peer.capacity ??= capacity;
        }
      });
  }

  /**
   * Records that a peer has sent a message; not all messages state its capacity.
   *
   * @returns whether this is the peer's first message since it was found or lost
   */
  recordMessage(
    { id, address, availabilityZone, capacity }: PeerEntry,
    now: Milliseconds,
  ): boolean {
    const peer = this.peers.get(id);
    const unseenSince = peer?.unseenSince ?? now;
    this.peers.set(id, {
      address,
      availabilityZone,
      capacity: capacity ?? peer?.capacity,
      lastSeenAt: now,
      unseenSince,
      hasSentMessage: true,
    });
    return peer?.hasSentMessage !== true;
  }

  /** Marks peers as lost that have been silent for too long, and returns their IDs. */
  expireSilent(now: Milliseconds, maxSilence: Milliseconds): string[] {
    const expired: string[] = [];
    this.peers.forEach((peer, id) => {
      if (peer.lastSeenAt !== undefined && now - peer.lastSeenAt > maxSilence) {
        Object.assign(peer, { lastSeenAt: undefined, unseenSince: now, hasSentMessage: false });
        expired.push(id);
      }
    });
    return expired;
  }

  /** Removes peers that have not been seen for so long that they will not return; returns their IDs. */
  evictUnseen(now: Milliseconds): string[] {
    const evicted = [...this.peers].filter(
      ([, { lastSeenAt, unseenSince }]) =>
        lastSeenAt === undefined && now - unseenSince > peerTableOptions.evictAfter,
    );
    evicted.forEach(([id]) => this.peers.delete(id));
    return evicted.map(([id]) => id);
  }

  /** IDs of the live peers. */
  get liveIds(): string[] {
    return this.liveEntries.map(({ id }) => id);
  }

  /** Directory entries of the live peers. */
  get liveEntries(): PeerEntry[] {
    return [...this.peers]
      .filter(([, { lastSeenAt }]) => lastSeenAt !== undefined)
      .map(([id, { address, availabilityZone, capacity }]) => ({
        id,
        address,
        availabilityZone,
        capacity,
      }));
  }

  /** The capacity that a peer states; undefined if unknown. */
  getCapacity(id: string): number | undefined {
    return this.peers.get(id)?.capacity;
  }

  /** IDs of all known peers, live or not. */
  get ids(): string[] {
    return [...this.peers.keys()];
  }

  /** Returns the address of one peer, live or not; without an ID, the addresses of all live peers. */
  getAddresses(id: string | undefined): string[] {
    const ids = id === undefined ? this.liveIds : [id];
    return ids.flatMap((peer) => this.peers.get(peer)?.address ?? []);
  }

  /** Whether this daemon has the lowest ID of all live ones; that one cleans up the directory. */
  get hasLowestId(): boolean {
    return [...this.peers].every(
      ([id, { lastSeenAt }]) => lastSeenAt === undefined || this.self < id,
    );
  }
}
