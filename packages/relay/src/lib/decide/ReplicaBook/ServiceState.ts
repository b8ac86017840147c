import type { Milliseconds } from '@apricotrill/utils';
import type { RelayReplica, RelayService } from '../../config/RelayConfiguration.js';
import type { PlacementOptions } from '../placementOptions.js';
import { ReplicaState } from '../ReplicaState/ReplicaState.js';
import { RetryAllowance } from '../RetryAllowance/RetryAllowance.js';
import { WaitingList } from '../WaitingList/WaitingList.js';

/** What the placement core knows of one service. */
export class ServiceState {
  service: RelayService | undefined;

  readonly replicas = new Map<string, ReplicaState>();

  readonly waiting = new WaitingList();

  readonly allowance: RetryAllowance;

  constructor(private readonly options: PlacementOptions) {
    this.allowance = new RetryAllowance({
      ratio: options.retryRatio,
      window: options.retryWindow,
      slack: options.retrySlack,
    });
  }

  /** Takes over the newest list; what is known of replicas that stay is kept. */
  setReplicas(replicas: readonly RelayReplica[]): void {
    const listed = new Set(replicas.map(({ id }) => id));
    [...this.replicas.keys()]
      .filter((id) => !listed.has(id))
      .forEach((id) => this.replicas.delete(id));
    replicas.forEach((replica) => {
      const state = this.replicas.get(replica.id);
      if (state === undefined) {
        this.replicas.set(replica.id, new ReplicaState(replica, this.options));
      } else {
        state.replica = replica;
      }
    });
  }

  /**
   * The replicas that a request may go to now: not leaving, with room, and not tried yet unless all
   * were. Suspect ones come in only where there is no other.
   */
  getCandidates(tried: ReadonlySet<string>, now: Milliseconds): ReplicaState[] {
    const staying = this.getStaying();
    const trusted = staying.filter(
      ({ suspicion, breaks }) => suspicion === undefined && !breaks.isAvoided(now),
    );
    const pool = trusted.length > 0 ? trusted : staying;
    const withRoom = pool.filter((state) => state.hasRoom(this.connections, this.service?.engine));
    const fresh = withRoom.filter(({ replica }) => !tried.has(replica.id));
    const open = fresh.length > 0 ? fresh : withRoom;
    const free = open.filter(({ fullUntil }) => fullUntil <= now);
    return free.length > 0 ? free : open;
  }

  /** Replicas that are not about to leave. */
  getStaying(): ReplicaState[] {
    return [...this.replicas.values()].filter(
      ({ replica, isLeaving }) => !replica.isDraining && !isLeaving,
    );
  }

  /** This daemon's part of the connections that one replica takes. */
  private get connections(): number {
    const all = this.service?.maxConnections ?? Number.POSITIVE_INFINITY;
    return Math.max(2, Math.floor(all / this.options.expectedDaemons));
  }
}
