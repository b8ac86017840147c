import { getHash } from '@apricotrill/utils';
import { getRendezvousScore } from '../getRendezvousScore.js';

/**
 * One daemon's share of the slots of a replica.
 *
 * @internal
 */
export interface Share {
  /** Whether this daemon sends requests to the replica at all. */
  isAssigned: boolean;
  /** The number of slots; may be zero if the replica has fewer slots than daemons. */
  slots: number;
  /** The number of daemons that share the slots. */
  daemonCount: number;
}

interface Daemon {
  id: string;
  hash: number;
}

/**
 * Divides the slots of each replica among the daemons without coordination. Daemons with the same
 * member list compute the same order of daemons for a replica by rendezvous hashing. The first
 * `daemonCount` daemons in this order divide the slots evenly, and the earlier ones get the
 * remainder. The shares of a replica add up to exactly its slots, so daemons with the same member
 * list never exceed the slots by their shares. Daemons whose member lists differ for a while may.
 *
 * In a large fleet, each replica is shared by only as many daemons as are needed for a daemon to use
 * `subsetSize` replicas of the service on average. Every replica is used by at least one daemon.
 *
 * @internal
 */
export class SharedLimit {
  private readonly subsetSize: number;

  private self: Daemon = { id: '', hash: 0 };

  private others: Daemon[] = [];

  /** @param subsetSize - the average number of replicas of a service that a daemon uses */
  constructor(subsetSize: number) {
    this.subsetSize = subsetSize;
  }

  /** Sets the list of live daemons, which includes this one. */
  setDaemons(self: string, daemons: readonly string[]): void {
    this.self = { id: self, hash: getHash(self) };
    this.others = [...new Set(daemons)]
      .filter((id) => id !== self)
      .map((id) => ({ id, hash: getHash(id) }));
  }

  /**
   * Returns this daemon's share of a replica.
   *
   * @param replica - the id of the replica
   * @param slots - how many requests the replica runs at once
   * @param replicaCount - the number of replicas that the daemons are spread over
   */
  getShare(replica: string, slots: number, replicaCount: number): Share {
    const daemons = this.others.length + 1;
    const wantedCount = Math.ceil((this.subsetSize * daemons) / Math.max(1, replicaCount));
    const daemonCount = Math.min(daemons, wantedCount);
    const rank = this.getRank(getHash(replica), daemonCount);
    if (rank >= daemonCount) {
      return { isAssigned: false, slots: 0, daemonCount };
    }
    const remainder = slots % daemonCount;
    const ownSlots = Math.floor(slots / daemonCount) + (rank < remainder ? 1 : 0);
    return { isAssigned: true, slots: ownSlots, daemonCount };
  }

  /** Counts the daemons that precede this one in the order of the replica, up to a limit. */
  private getRank(replica: number, limit: number): number {
    const ownScore = getRendezvousScore(replica, this.self.hash);
    let rank = 0;
    for (let index = 0; index < this.others.length && rank < limit; index += 1) {
      const other = this.others[index]!;
      const score = getRendezvousScore(replica, other.hash);
      if (score > ownScore || (score === ownScore && other.id < this.self.id)) {
        rank += 1;
      }
    }
    return rank;
  }
}
