import type { ConfigurationDistributor } from '../ConfigurationDistributor/ConfigurationDistributor.js';
import type { CoreContext } from '../CoreContext.js';
import { pickRandom } from '../CoreContext.js';
import { getMeshAddress } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import type { PeerResponse, Rumour } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import type { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';
import type { RegionReachability } from '../RegionReachability/RegionReachability.js';
import type { Gossiper } from '../Gossiper/Gossiper.js';
import type { RumourDispatcher } from './RumourDispatcher.js';

interface PeerGossipSettings {
  context: CoreContext;
  calls: PeerCalls;
  membership: Membership;
  targets: ProbeTargets;
  regionReachability: RegionReachability;
  gossiper: Gossiper;
  rumourDispatcher: RumourDispatcher;
  distributor: ConfigurationDistributor;
}

/**
 * Handles what is piggybacked on the messages to and from peers, rumours and active generations,
 * and sends gossip.
 */
export class PeerGossip {
  constructor(private readonly settings: PeerGossipSettings) {}

  get selfId(): string {
    return this.settings.membership.self.get().id;
  }

  /** Takes rumours to piggyback on a message, without those just received from its receiver. */
  takeRumours(received: readonly Rumour[] = []): Rumour[] {
    return this.settings.gossiper
      .takeRumours(received)
      .map((rumour) => this.settings.rumourDispatcher.refresh(rumour));
  }

  /** @returns newer records where the sender's rumours were outdated */
  handleRumours(rumours: readonly Rumour[]): Rumour[] {
    return this.settings.rumourDispatcher.handleRumours(rumours);
  }

  /** What a peer needs to know about itself: that it is not considered alive. */
  getUpdatesAbout(member: string): Rumour[] {
    return this.settings.membership.getUpdatesAbout(member);
  }

  /** Handles the active generation of a member, which also shows that its region is reachable. */
  handleGeneration(member: string, generation: number): void {
    const { membership, regionReachability, distributor } = this.settings;
    const entry = membership.table.get(member);
    if (entry !== undefined) {
      membership.table.setGeneration(member, generation);
      regionReachability.recordContact(entry.record.region);
      distributor.handleGeneration(generation, getMeshAddress(entry.record));
    }
  }

  /** Handles what is piggybacked on a response. */
  handleResponse(member: string, response: PeerResponse): void {
    this.handleGeneration(member, response.generation);
    if (response.kind === 'ack') {
      this.handleRumours(response.rumours);
    }
  }

  /** Sends rumours and the active generation to some of the peers with an open connection. */
  sendGossip(fanout: number): void {
    const { context, calls, distributor } = this.settings;
    pickRandom(context, this.getGossipTargets(), fanout).forEach((member) => {
      const { record } = this.settings.membership.table.get(member)!;
      const rumours = this.takeRumours();
      const request = { kind: 'gossip', generation: distributor.getGeneration(), rumours } as const;
      context.counters.gossips += 1;
      calls.call(getMeshAddress(record), request, context.options.callTimeout, (response) => {
        if (response !== undefined) {
          this.handleResponse(member, response);
        }
      });
    });
  }

  /** The neighbours and one link into each other region, which are probed anyway. */
  private getGossipTargets(): string[] {
    const { membership, regionReachability, targets } = this.settings;
    const ownRegion = membership.self.get().region;
    const links = [...targets.getRegions().keys()]
      .filter((region) => region !== ownRegion && regionReachability.isReachable(region))
      .map((region) => targets.getLink(region, 0))
      .filter((link) => link !== undefined);
    return [...targets.getNeighbours(), ...links];
  }
}
