import { getRendezvousOrder, getWeightedRendezvousOrder } from '@apricotrill/utils';

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

  private capacities: ReadonlyMap<string, number | undefined> = new Map();

  private readonly placers = new Map<string, readonly string[]>();

  private readonly placersByCapacity = new Map<string, readonly string[]>();

  /**
   * @param usesCapacities - whether the placers of a group are chosen by the capacity of daemons; may
   *   change at any time
   */
  constructor(private readonly usesCapacities: (group: string) => boolean = () => false) {}

  /**
   * Replaces the list of reachable daemons.
   *
   * @param capacities - what daemons state of the size of their instances
   */
  update(
    self: string,
    daemons: readonly string[],
    capacities: ReadonlyMap<string, number | undefined> = new Map(),
  ): void {
    this.ownName = self;
    this.daemons = daemons;
    this.capacities = capacities;
    this.placers.clear();
    this.placersByCapacity.clear();
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

  /**
   * Gets the placer of a group and its deputy.
   *
   * Load pattern: daemons on instances of very different size, where a placer on a small one is late with
   * its responses. A daemon is the placer of a number of groups in proportion to its capacity.
   */
  getPlacers(group: string): readonly string[] {
    const usesCapacities = this.usesCapacities(group);
    const cache = usesCapacities ? this.placersByCapacity : this.placers;
    const known = cache.get(group);
    if (known !== undefined) {
      return known;
    }
    const order = usesCapacities
      ? this.getOrderByCapacity(group)
      : getRendezvousOrder(group, this.daemons);
    const placers = order.slice(0, PLACERS_PER_GROUP);
    cache.set(group, placers);
    return placers;
  }

  /** A daemon that states no capacity counts as the smallest one. */
  private getOrderByCapacity(group: string): readonly string[] {
    const stated = this.daemons
      .map((daemon) => this.capacities.get(daemon))
      .filter((capacity) => capacity !== undefined);
    const smallest = stated.length === 0 ? 1 : Math.min(...stated);
    return getWeightedRendezvousOrder(
      group,
      this.daemons,
      (daemon) => this.capacities.get(daemon) ?? smallest,
    );
  }
}
