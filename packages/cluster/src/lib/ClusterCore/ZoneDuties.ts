import { getRendezvousOrder } from '@apricotrill/utils';
import type { ClusterOptions } from '../clusterOptions.js';
import type { DaemonIdentity, Member } from '../Member.js';
import { MemberState } from '../Member.js';

/**
 * Assigns duties to the daemons of this daemon's availability zone. Every daemon computes the
 * assignment from its own view. While views differ, more or fewer daemons than intended perform a
 * duty, which costs a few calls.
 */
export class ZoneDuties {
  /** The zone's daemons that may be given duties, in the order in which they are given them. */
  private candidates: string[] = [];

  private daemonCount = 1;

  constructor(
    private readonly self: DaemonIdentity,
    private readonly options: ClusterOptions,
  ) {}

  /** Number of daemons in the zone. */
  get zoneSize(): number {
    return this.daemonCount;
  }

  /**
   * The daemon that reports the zone's load and reads the platform's instance list for the zone.
   */
  get reporter(): string {
    return this.candidates[0] ?? this.self.id;
  }

  /** This daemon's rank among the store watchers; -1 if it is not one of them. */
  get watchRank(): number {
    const rank = Math.max(0, this.candidates.indexOf(this.self.id));
    const isWatcher =
      this.candidates.length === 0 ||
      (this.candidates[rank] === this.self.id && rank < this.options.watchersPerZone);
    return isWatcher ? rank : -1;
  }

  /** @param members - all known members, this daemon first */
  update(members: readonly Member[]): void {
    const { availabilityZone } = this.self;
    const zone = members.filter((member) => member.availabilityZone === availabilityZone);
    const eligible = zone.filter(
      (member) => member.isEligible || (this.isSelf(member) && member.state === MemberState.Alive),
    );
    this.daemonCount = zone.length;
    const key = `cluster-duties/${availabilityZone}`;
    this.candidates = getRendezvousOrder(
      key,
      eligible.map(({ id }) => id),
    );
  }

  private isSelf({ id }: Member): boolean {
    return id === this.self.id;
  }
}
