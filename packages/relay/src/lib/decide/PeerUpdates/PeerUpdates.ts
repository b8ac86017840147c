import type { AdmissionControl } from '../admission/AdmissionControl/AdmissionControl.js';
import type { PeerQueries } from '../admission/PeerQueries/PeerQueries.js';
import type { Fleet } from '../Fleet/Fleet.js';
import type { ReplicaFragility } from '../fragility/ReplicaFragility/ReplicaFragility.js';
import type { ReplicaLimits } from '../limits/ReplicaLimits/ReplicaLimits.js';
import type { PlacementUpdate } from '../messages.js';
import type { PeerAttempts } from '../PeerAttempts/PeerAttempts.js';
import type { Placer } from '../Placer/Placer.js';
import type { Placing } from '../Placing/Placing.js';
import type { Quarantine } from '../quarantine/Quarantine/Quarantine.js';
import type { ReplicaBackoffs } from '../ReplicaBackoffs/ReplicaBackoffs.js';
import type { ReplicaRegistry } from '../ReplicaRegistry/ReplicaRegistry.js';
import type { WaitingRequests } from '../WaitingRequests/WaitingRequests.js';

/** Dependencies of {@link PeerUpdates}. */
export interface PeerUpdatesParts {
  fleet: Fleet;
  registry: ReplicaRegistry;
  quarantine: Quarantine;
  limits: ReplicaLimits;
  fragility: ReplicaFragility;
  backoffs: ReplicaBackoffs;
  placer: Placer;
  placing: Placing;
  peerAttempts: PeerAttempts;
  waiting: WaitingRequests;
  admissionControl: AdmissionControl;
  peerQueries: PeerQueries;
  /** Called when a peer reports that a replica is about to leave. */
  onLeaving: (replica: string, peer: string) => void;
}

/** Passes what other daemons announce to the parts that it concerns, and collects what they are told. */
export class PeerUpdates {
  constructor(private readonly parts: PeerUpdatesParts) {}

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const { registry, quarantine, limits, fragility, backoffs } = this.parts;
    const leaving = registry.getLeavingReplicas();
    return [
      ...quarantine.getPeriodicUpdates(),
      ...limits.getPeriodicUpdates(),
      ...fragility.getPeriodicUpdates(),
      ...backoffs.getPeriodicUpdates(),
      ...this.getGroupLoads(),
      ...(leaving.length === 0 ? [] : [{ kind: 'leaving' as const, replicas: leaving }]),
    ];
  }

  /** Removes what is known of a peer that is gone. */
  removePeer(peer: string): void {
    this.parts.peerQueries.removePeer(peer);
    this.parts.peerAttempts.removePeer(peer);
  }

  /** The loads of this daemon's groups, which its own requests are sent by as well. */
  private getGroupLoads(): PlacementUpdate[] {
    const { admissionControl, fleet, registry } = this.parts;
    const updates = admissionControl.getPeriodicUpdates();
    updates.forEach(({ service, loads }) => registry.recordGroupLoads(fleet.self, service, loads));
    return updates;
  }

  handle(peer: string, update: PlacementUpdate): void {
    const { registry, quarantine, limits, fragility, backoffs } = this.parts;
    const { placer, placing, peerAttempts, peerQueries, waiting, onLeaving } = this.parts;
    switch (update.kind) {
      case 'attempt-broken':
        registry.recordBrokenAttempt(update.replica);
        break;
      case 'crashed':
      case 'cleared':
      case 'quarantined':
        quarantine.handlePeerUpdate(peer, update);
        break;
      case 'limits':
        limits.applyPeerLimits(update.limits);
        waiting.drainAll();
        break;
      case 'fragile':
        fragility.applyPeerStatements(update.replicas);
        break;
      case 'turned-away':
        fragility.recordPeerRejection(update.replica);
        break;
      case 'leaving':
        update.replicas.forEach((replica) => onLeaving(replica, peer));
        break;
      case 'backoffs':
        backoffs.recordPeerBackoffs(update.backoffs);
        break;
      case 'ask':
        placer.handleQuery(peer, update.query);
        break;
      case 'reply':
        placing.handleResponse(peer, update.response);
        break;
      case 'group-loads':
        registry.recordGroupLoads(peer, update.service, update.loads);
        break;
      case 'ended':
        peerQueries.handleEnded(peer, update.key);
        peerAttempts.handleUpdate(peer, update);
        break;
      case 'placed':
      case 'first-byte-received':
      case 'attempt-list':
        peerQueries.sweep();
        peerAttempts.handleUpdate(peer, update);
        break;
      default:
        update satisfies never;
    }
  }
}
