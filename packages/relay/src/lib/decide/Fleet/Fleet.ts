import { getRendezvousOrder } from '@apricotrill/utils';

/** Options for the exchange of placements between daemons. */
export const fleetOptions = {
  /**
   * Maximum number of daemons that announce each placement to all peers and choose replicas
   * themselves. Each daemon then sends three messages per request to every peer. With 74 daemons
   * and 5 requests per second at each, every daemon would send and receive about 1,000 datagrams
   * per second.
   */
  maxSmallFleetSize: 17,
};

/** Each group has a placer, and a deputy that takes over if the placer does not respond. */
const PLACERS_PER_GROUP = 2;

/**
 * The daemons that are currently reachable, including this one, and the placers of the replica
 * groups. Daemons that see the same peers compute the same placers without coordination. While
 * their views differ, two daemons may choose for one group, each by its own state; this affects
 * only the balance.
 */
export class Fleet {
  private ownName = '';

  private daemons: readonly string[] = [];

  private readonly placers = new Map<string, readonly string[]>();

  /** Replaces the list of reachable daemons. */
  update(self: string, daemons: readonly string[]): void {
    this.ownName = self;
    this.daemons = daemons;
    this.placers.clear();
  }

  /** The name of this daemon. */
  get self(): string {
    return this.ownName;
  }

  /** Names of all daemons, including this one. */
  get members(): readonly string[] {
    return this.daemons;
  }

  /** Whether there are too many daemons to announce each placement to all of them. */
  get isLarge(): boolean {
    return this.daemons.length > fleetOptions.maxSmallFleetSize;
  }

  /** Gets the placer of a group and its deputy. */
  getPlacers(group: string): readonly string[] {
    const known = this.placers.get(group);
    if (known !== undefined) {
      return known;
    }
    const placers = getRendezvousOrder(group, this.daemons).slice(0, PLACERS_PER_GROUP);
    this.placers.set(group, placers);
    return placers;
  }
}
