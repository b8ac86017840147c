import type { Clock } from '@apricotrill/utils';
import { chooseReplica } from '../chooseReplica.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { Choice, Placement, PlacementQuery, PlacementEffect } from '../messages.js';
import type { PeerAttempts } from '../PeerAttempts/PeerAttempts.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';

/** What the placer is made of. */
export interface PlacerParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  registry: ReplicaRegistry;
  fleet: Fleet;
  /** What other daemons have under way. */
  peers: PeerAttempts;
}

function getPlacement(replica: string, choice: Choice): Placement {
  const { expected, missingTokens, tokensAhead, copyTime, fetchFrom, fetchTokens } = choice;
  return {
    replica,
    expected,
    missingTokens,
    tokensAhead,
    copyTime,
    fetchFrom: fetchFrom?.id,
    fetchTokens,
  };
}

/** Chooses replicas for requests of other daemons, and counts these as under way from then on. */
export class Placer {
  private followed: string | undefined;

  constructor(private readonly parts: PlacerParts) {}

  /** Another daemon asks where to send a request. */
  answer(peer: string, ask: PlacementQuery): void {
    const { registry: book, clock, emit, options, peers } = this.parts;
    const { key, wish, availabilityZone, tried } = ask;
    if (peers.has(peer, key)) {
      // The network repeats a datagram at times: counted twice, the first would never be taken out.
      return;
    }
    const now = clock.now();
    const service = book.getService(wish.service);
    const group = service.getRequestGroup(wish, key);
    const chosen = chooseReplica({
      request: wish,
      service: service.service,
      candidates: group === undefined ? [] : service.getGroupCandidates(group, new Set(tried), now),
      now,
      options: { ...options, availabilityZone },
    });
    if (chosen === undefined) {
      emit({ kind: 'share', to: peer, update: { kind: 'reply', response: { key } } });
      return;
    }
    const { state, choice } = chosen;
    peers.place(peer, key, wish, chosen);
    const placement = getPlacement(state.replica.id, choice);
    emit({ kind: 'share', to: peer, update: { kind: 'reply', response: { key, placement } } });
    emit({ kind: 'placed-for', peer, key, replica: state.replica, choice });
  }

  /**
   * The engines whose caches this daemon needs to know have changed: those of the groups that it
   * chooses for, or would if their placer were gone.
   */
  updateFollowed(): void {
    const engines = this.getFollowed();
    const followed = engines === undefined ? undefined : [...engines].sort().join(' ');
    if (followed !== this.followed) {
      this.followed = followed;
      this.parts.emit({ kind: 'follow-caches', engines });
    }
  }

  private getFollowed(): ReadonlySet<string> | undefined {
    const { registry: book, fleet } = this.parts;
    if (!fleet.isLarge) {
      return undefined;
    }
    const groups = book.allServices
      .filter(({ service }) => service?.engine !== undefined)
      .flatMap((service) => service.groups);
    const own = groups.filter(({ name }) => fleet.getPlacers(name).includes(fleet.self));
    return new Set(own.flatMap(({ replicas }) => replicas.map(({ replica }) => replica.id)));
  }
}
