import type { ConfigurationSpread } from '../ConfigurationDistributor/ConfigurationDistributor.js';
import type { CoreContext } from '../CoreContext.js';
import { pickSome } from '../CoreContext.js';
import { getMeshAddress } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import type { PeerAnswer, Rumour } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import type { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';
import type { RegionReach } from '../RegionReachability/RegionReachability.js';
import type { Spreader } from '../Spreader/Spreader.js';
import type { RumourReader } from './RumourDispatcher.js';

interface PeerTalkParts {
  context: CoreContext;
  calls: PeerCalls;
  membership: Membership;
  targets: ProbeTargets;
  regions: RegionReach;
  spreader: Spreader;
  reader: RumourReader;
  spread: ConfigurationSpread;
}

/** What passes along with every message to and from peers: rumours and generations. */
export class PeerTalk {
  constructor(private readonly parts: PeerTalkParts) {}

  /** This daemon's id. */
  get self(): string {
    return this.parts.membership.self.get().id;
  }

  /** Rumours to send along; not those that the receiver has just told. */
  takeRumours(heard: readonly Rumour[] = []): Rumour[] {
    return this.parts.spreader.take(heard).map((rumour) => this.parts.reader.refresh(rumour));
  }

  /** @returns newer word on what the sender told */
  hearRumours(rumours: readonly Rumour[]): Rumour[] {
    return this.parts.reader.hear(rumours);
  }

  /** What a peer ought to know about itself. */
  getWordOn(member: string): Rumour[] {
    return this.parts.membership.getWordOn(member);
  }

  /** A member told its generation, and with that that its region can be reached. */
  hearGeneration(member: string, generation: number): void {
    const { membership, regions, spread } = this.parts;
    const entry = membership.table.get(member);
    if (entry !== undefined) {
      membership.table.setGeneration(member, generation);
      regions.hear(entry.record.region);
      spread.hearGeneration(generation, getMeshAddress(entry.record));
    }
  }

  /** Takes what an answer carries beside the answer. */
  hearAnswer(member: string, answer: PeerAnswer): void {
    this.hearGeneration(member, answer.generation);
    if (answer.kind === 'ack') {
      this.hearRumours(answer.rumours);
    }
  }

  /** Sends rumours and the generation in force to some of the peers that are talked to anyway. */
  push(fanout: number): void {
    const { context, calls, spread } = this.parts;
    pickSome(context, this.getContacts(), fanout).forEach((member) => {
      const { record } = this.parts.membership.table.get(member)!;
      const rumours = this.takeRumours();
      const request = { kind: 'gossip', generation: spread.getGeneration(), rumours } as const;
      context.counters.gossips += 1;
      calls.call(getMeshAddress(record), request, context.options.callTimeout, (answer) => {
        if (answer !== undefined) {
          this.hearAnswer(member, answer);
        }
      });
    });
  }

  /** Neighbours, and one link into each other region: connections to them are open. */
  private getContacts(): string[] {
    const { membership, regions, targets } = this.parts;
    const ownRegion = membership.self.get().region;
    const links = [...targets.getRegions().keys()]
      .filter((region) => region !== ownRegion && regions.isReachable(region))
      .map((region) => targets.getLink(region, 0))
      .filter((link) => link !== undefined);
    return [...targets.getNeighbours(), ...links];
  }
}
