import type { Clock } from '@apricotrill/utils';
import { chooseReplica } from '../chooseReplica.js';
import type { Fleet } from '../Fleet/Fleet.js';
import { getPlacement } from '../getPlacement.js';
import type { PlacementQuery, PlacementEffect } from '../messages.js';
import type { PeerAttempts } from '../PeerAttempts/PeerAttempts.js';
import type { PlacementOptions } from '../placementOptions.js';
import type { PeerQueries } from '../admission/PeerQueries/PeerQueries.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { ServiceState } from '../ReplicaRegistry/ServiceState.js';
import { recordChoice } from '../ReplicaTrial/recordChoice.js';

/** Dependencies of {@link Placer}. */
export interface PlacerParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  options: PlacementOptions;
  registry: ReplicaRegistry;
  fleet: Fleet;
  /** Attempts that other daemons have in flight. */
  peerAttempts: PeerAttempts;
  peerQueries: PeerQueries;
}

/** Chooses replicas for requests of other daemons, and counts the attempts as in flight from then on. */
export class Placer {
  /** The IDs that were last emitted, sorted and joined. */
  private followedKey: string | undefined;

  /** Services whose placers are chosen by the capacity of daemons, since they are under admission control. */
  private readonly controlledServices = new Set<string>();

  constructor(private readonly parts: PlacerParts) {}

  /** Responds to a peer's placement query. */
  handleQuery(peer: string, query: PlacementQuery): void {
    const { registry, clock, emit, options, peerAttempts } = this.parts;
    const { key, criteria, availabilityZone, excludedReplicas, claim } = query;
    const service = registry.getService(criteria.service);
    this.noticeAdmissionControl(service);
    // The peer knows that requests have to be admitted, even if this daemon has not heard of that yet.
    if (claim !== undefined) {
      this.parts.peerQueries.handle(peer, { ...query, claim });
      return;
    }
    if (peerAttempts.has(peer, key)) {
      // Datagrams can be duplicated. A second attempt with this key would replace the first, which
      // would then never be removed.
      return;
    }
    const now = clock.now();
    const group = service.getRequestGroup(criteria, key);
    const candidates =
      group !== undefined ? service.getGroupCandidates(group, new Set(excludedReplicas), now) : [];
    const chosen = chooseReplica({
      request: criteria,
      service: service.service,
      candidates,
      now,
      options: { ...options, availabilityZone },
    });
    if (chosen === undefined) {
      emit({ kind: 'share', to: peer, update: { kind: 'reply', response: { key } } });
      return;
    }
    const { state, choice } = chosen;
    recordChoice(state, candidates);
    peerAttempts.addPlaced(peer, key, criteria, chosen);
    const placement = getPlacement(state.replica.id, choice);
    emit({ kind: 'share', to: peer, update: { kind: 'reply', response: { key, placement } } });
    emit({ kind: 'placed-for', peer, key, replica: state.replica, choice });
  }

  /**
   * Emits the engines whose caches this daemon needs to follow, if they have changed: those of the
   * groups for which it is the placer or the deputy.
   */
  updateFollowedEngines(): void {
    const engines = this.getFollowedEngines();
    const followed = engines === undefined ? undefined : [...engines].sort().join(' ');
    if (followed !== this.followedKey) {
      this.followedKey = followed;
      this.parts.emit({ kind: 'follow-caches', engines });
    }
  }

  /** Follows the engines of further groups once this daemon is their placer by its capacity. */
  private noticeAdmissionControl({ name, isAdmissionControlled }: ServiceState): void {
    if (isAdmissionControlled && !this.controlledServices.has(name)) {
      this.controlledServices.add(name);
      this.updateFollowedEngines();
    }
  }

  private getFollowedEngines(): ReadonlySet<string> | undefined {
    const { registry, fleet } = this.parts;
    if (!fleet.isLarge) {
      return undefined;
    }
    const groups = registry.allServices
      .filter(({ service }) => service?.engine !== undefined)
      .flatMap((service) => service.groups);
    const ownGroups = groups.filter(({ name }) => fleet.getPlacers(name).includes(fleet.self));
    return new Set(ownGroups.flatMap(({ replicas }) => replicas.map(({ replica }) => replica.id)));
  }
}
