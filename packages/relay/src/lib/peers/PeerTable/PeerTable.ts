import type { Milliseconds } from '@apricotrill/utils';
import type { PeerEntry } from '../PeerDirectory.js';

/** When a peer counts as gone, and when its entry is given up. */
export const peerOptions = {
  /** Longer than a machine takes to be replaced under the same name. */
  forgetAfter: 120_000 satisfies Milliseconds,
};

interface Peer {
  address: string;
  availabilityZone: string;
  /** When it was last known to run; undefined while it isn't known to. */
  heardAt: Milliseconds | undefined;
  foundAt: Milliseconds;
  /** Whether it was heard itself since it was found or lost. */
  isHeard: boolean;
}

/** Which daemons there are, and which of them are heard. */
export class PeerTable {
  private readonly peers = new Map<string, Peer>();

  constructor(private readonly self: string) {}

  /**
   * Takes over what the directory lists.
   *
   * @param isPresumed - whether those that are found count as running until they are silent for too
   *   long: where daemons are many, each is heard only after a while
   */
  setListed(entries: readonly PeerEntry[], now: Milliseconds, isPresumed = false): void {
    const heardAt = isPresumed ? now : undefined;
    entries
      .filter(({ id }) => id !== this.self)
      .forEach(({ id, address, availabilityZone }) => {
        const peer = this.peers.get(id);
        if (peer === undefined) {
          this.peers.set(id, {
            address,
            availabilityZone,
            heardAt,
            foundAt: now,
            isHeard: false,
          });
        } else if (peer.heardAt === undefined) {
          Object.assign(peer, { address, availabilityZone });
        }
      });
  }

  /** @returns whether the peer was not heard before */
  noteHeard({ id, address, availabilityZone }: PeerEntry, now: Milliseconds): boolean {
    const peer = this.peers.get(id);
    const foundAt = peer?.foundAt ?? now;
    this.peers.set(id, { address, availabilityZone, heardAt: now, foundAt, isHeard: true });
    return peer?.isHeard !== true;
  }

  /** Peers that have fallen silent since the last call. */
  takeSilent(now: Milliseconds, silence: Milliseconds): string[] {
    const silent: string[] = [];
    this.peers.forEach((peer, id) => {
      if (peer.heardAt !== undefined && now - peer.heardAt > silence) {
        Object.assign(peer, { heardAt: undefined, foundAt: now, isHeard: false });
        silent.push(id);
      }
    });
    return silent;
  }

  /** Peers that were not heard for so long that they will not come back under their name. */
  takeForgotten(now: Milliseconds): string[] {
    const forgotten = [...this.peers].filter(
      ([, { heardAt, foundAt }]) =>
        heardAt === undefined && now - foundAt > peerOptions.forgetAfter,
    );
    forgotten.forEach(([id]) => this.peers.delete(id));
    return forgotten.map(([id]) => id);
  }

  /** Names of the peers that are heard. */
  get liveIds(): string[] {
    return this.live.map(({ id }) => id);
  }

  /** The entries of the peers that are heard. */
  get live(): PeerEntry[] {
    return [...this.peers]
      .filter(([, { heardAt }]) => heardAt !== undefined)
      .map(([id, { address, availabilityZone }]) => ({ id, address, availabilityZone }));
  }

  /** Names of all that may be there. */
  get ids(): string[] {
    return [...this.peers.keys()];
  }

  /** The address of one peer, also of one that isn't heard; those of all that are where none is named. */
  getAddresses(id: string | undefined): string[] {
    const ids = id === undefined ? this.liveIds : [id];
    return ids.flatMap((peer) => this.peers.get(peer)?.address ?? []);
  }

  /** Whether this daemon, of those that are heard, has the first name: one of them tidies up. */
  get isFirst(): boolean {
    return [...this.peers].every(([id, { heardAt }]) => heardAt === undefined || this.self < id);
  }
}
