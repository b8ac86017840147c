import { getRendezvousOrder } from '@apricotrill/utils';

/** How daemons share what they decide. */
export const fleetOptions = {
  /**
   * Up to so many daemons tell each other of each placement at once, and each chooses for itself.
   * Each of n daemons sends three messages for each of its requests to all others: at 74 daemons, by
   * calculation, 1,000 datagrams a second both ways at each, for 5 requests a second.
   */
  maxSmallFleetSize: 17,
};

/** The placer of a group, and the daemon that takes over when it gives no answer. */
const PLACERS = 2;

/**
 * The daemons that are heard, this one included, and which of them chooses for which group of
 * replicas. Daemons that hear the same others agree without a word; where they don't, two choose for
 * one group for a while, each by what it knows, and nothing but the balance suffers.
 */
export class Fleet {
  private own = '';

  private daemons: readonly string[] = [];

  private readonly placers = new Map<string, readonly string[]>();

  /** Takes over who is heard. */
  update(own: string, daemons: readonly string[]): void {
    this.own = own;
    this.daemons = daemons;
    this.placers.clear();
  }

  /** The name of this daemon. */
  get self(): string {
    return this.own;
  }

  /** Names of all daemons, including this one. */
  get members(): readonly string[] {
    return this.daemons;
  }

  /** Whether there are too many for each to hear of all that the others do. */
  get isLarge(): boolean {
    return this.daemons.length > fleetOptions.maxSmallFleetSize;
  }

  /** The daemon that chooses for a group, and its deputy. */
  getPlacers(group: string): readonly string[] {
    const known = this.placers.get(group);
    if (known !== undefined) {
      return known;
    }
    const placers = getRendezvousOrder(group, this.daemons).slice(0, PLACERS);
    this.placers.set(group, placers);
    return placers;
  }
}
