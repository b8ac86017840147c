import { getHash } from '@apricotrill/utils';
import { getMixedScore } from '../getMixedScore.js';

/**
 * One daemon's part of a replica's slots.
 *
 * @internal
 */
export interface Share {
  /** Whether this daemon sends to the replica at all. */
  isIn: boolean;
  /** How many requests it may have running there; may be zero when slots are fewer than daemons. */
  slots: number;
  /** Among how many daemons the slots are divided. */
  contenders: number;
}

interface Daemon {
  id: string;
  hash: number;
}

/**
 * Divides the slots of each replica among the daemons without agreement: every daemon that knows
 * the same members computes the same rendezvous order of daemons for a replica, and the first
 * `contenders` of it divide the slots evenly, the earlier ones taking the remainder. The parts of
 * a replica add up to its slots exactly, so daemons that see the same members never exceed them
 * by their shares. Daemons that for a while see different members may.
 *
 * In a large fleet each replica is divided among just so many daemons that a daemon has
 * `subsetSize` replicas of the service on average; every replica has takers.
 *
 * @internal
 */
export class SharedLimit {
  private readonly subsetSize: number;

  private self: Daemon = { id: '', hash: 0 };

  private others: Daemon[] = [];

  /** @param subsetSize - replicas of a service for each daemon, on average */
  constructor(subsetSize: number) {
    this.subsetSize = subsetSize;
  }

  /** Takes the live daemons, this one among them. */
  setDaemons(self: string, daemons: readonly string[]): void {
    this.self = { id: self, hash: getHash(self) };
    this.others = [...new Set(daemons)]
      .filter((id) => id !== self)
      .map((id) => ({ id, hash: getHash(id) }));
  }

  /**
   * This daemon's part of a replica.
   *
   * @param replica - its id
   * @param slots - how many requests it runs at once
   * @param replicaCount - how many replicas the service has
   */
  getShare(replica: string, slots: number, replicaCount: number): Share {
    const daemons = this.others.length + 1;
    const wanted = Math.ceil((this.subsetSize * daemons) / Math.max(1, replicaCount));
    const contenders = Math.min(daemons, wanted);
    const rank = this.getRank(getHash(replica), contenders);
    if (rank >= contenders) {
      return { isIn: false, slots: 0, contenders };
    }
    const remainder = slots % contenders;
    const part = Math.floor(slots / contenders) + (rank < remainder ? 1 : 0);
    return { isIn: true, slots: part, contenders };
  }

  /** How many daemons the replica prefers to this one, counted up to the limit. */
  private getRank(replica: number, limit: number): number {
    const own = getMixedScore(replica, this.self.hash);
    let rank = 0;
    for (let index = 0; index < this.others.length && rank < limit; index += 1) {
      const other = this.others[index]!;
      const score = getMixedScore(replica, other.hash);
      if (score > own || (score === own && other.id < this.self.id)) {
        rank += 1;
      }
    }
    return rank;
  }
}
