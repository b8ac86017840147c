import { getRendezvousOrder } from '@apricotrill/utils';
import type { ClusterOptions } from '../clusterOptions.js';
import type { DaemonIdentity, Member } from '../Member.js';
import { MemberState } from '../Member.js';

/**
 * What falls to whom in this daemon's availability zone. Every daemon computes it from its own
 * view; where views differ for a while, more or fewer than intended act, which costs a few calls.
 */
export class Duties {
  /** The zone's daemons that duties may be given to, in the order in which they get them. */
  private order: string[] = [];

  private size = 1;

  constructor(
    private readonly self: DaemonIdentity,
    private readonly options: ClusterOptions,
  ) {}

  /** How many daemons the own zone has. */
  get zoneSize(): number {
    return this.size;
  }

  /** The daemon that sums up the zone's load and reads the platform's list for it. */
  get reporter(): string {
    return this.order[0] ?? this.self.id;
  }

  /** This daemon's place among the watchers; -1 when it is none. */
  get watchRank(): number {
    const rank = Math.max(0, this.order.indexOf(this.self.id));
    const isWatcher =
      this.order.length === 0 ||
      (this.order[rank] === this.self.id && rank < this.options.watchersPerZone);
    return isWatcher ? rank : -1;
  }

  /** @param members - the view, this daemon first */
  update(members: readonly Member[]): void {
    const { availabilityZone } = this.self;
    const zone = members.filter((member) => member.availabilityZone === availabilityZone);
    const able = zone.filter(
      (member) => member.isEligible || (this.isSelf(member) && member.state === MemberState.Alive),
    );
    this.size = zone.length;
    const key = `cluster-duties/${availabilityZone}`;
    this.order = getRendezvousOrder(
      key,
      able.map(({ id }) => id),
    );
  }

  private isSelf({ id }: Member): boolean {
    return id === this.self.id;
  }
}
