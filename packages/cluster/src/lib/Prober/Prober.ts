import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { addJitter, pickRandom } from '../CoreContext.js';
import { getMeshAddress, isRunning } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import type { PeerResponse, Rumour } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import type { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';

export interface ProberSettings {
  context: CoreContext;
  membership: Membership;
  targets: ProbeTargets;
  calls: PeerCalls;
  getGeneration: () => number;
  takeRumours: () => Rumour[];
  /** Handles the generation and the rumours that an ack carries. */
  handleAck: (member: string, response: PeerResponse) => void;
}

/**
 * SWIM failure detector: pings one neighbour at a time, asks other peers for indirect pings if it
 * does not respond, and has it suspected if they cannot reach it either.
 */
export class Prober {
  private timer: Timer | undefined;

  private neighbourIndex = 0;

  constructor(private readonly settings: ProberSettings) {}

  /** Starts probing, with a random phase so that daemons do not probe in step. */
  start(): void {
    const { context } = this.settings;
    const phase = context.options.probeInterval * context.random.next();
    this.timer = context.clock.setTimer(phase, () => this.tick());
  }

  /** Pings one member now. */
  probe(member: string, onResult: (succeeded: boolean) => void = () => {}): void {
    const { context, membership, calls } = this.settings;
    const record = membership.table.get(member)?.record;
    if (record === undefined || !isRunning(record.state)) {
      return;
    }
    const startedAt = context.clock.now();
    context.counters.probes += 1;
    const request = {
      kind: 'ping',
      generation: this.settings.getGeneration(),
      member,
      rumours: [...membership.getUpdatesAbout(member), ...this.settings.takeRumours()],
    } as const;
    calls.call(getMeshAddress(record), request, context.options.probeTimeout, (response) => {
      this.handleProbeResult(member, startedAt, response);
      onResult(response?.kind === 'ack');
    });
  }

  /** Sends indirect pings through other peers to a member that did not respond. */
  private probeIndirectly(member: string, startedAt: Milliseconds): void {
    const { context, membership, calls } = this.settings;
    const record = membership.table.get(member)?.record;
    const relays = this.pickRelays(member);
    if (record === undefined || relays.length === 0) {
      this.suspectUnlessUnhealthy(member, startedAt);
      return;
    }
    let pending = relays.length;
    let isReached = false;
    relays.forEach((relay) => {
      const request = {
        kind: 'indirect-ping',
        generation: this.settings.getGeneration(),
        member,
        address: getMeshAddress(record),
        rumours: membership.getUpdatesAbout(member),
      } as const;
      const timeout = context.options.probeTimeout + context.options.indirectProbeTimeout;
      calls.call(this.getAddress(relay), request, timeout, (response) => {
        pending -= 1;
        isReached ||= response?.kind === 'ack';
        this.recordCallResult(relay, startedAt, response);
        if (pending === 0 && !isReached) {
          this.suspectUnlessUnhealthy(member, startedAt);
        }
      });
    });
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private tick(): void {
    const { context, membership, targets } = this.settings;
    const neighbours = targets.getNeighbours();
    const interval = addJitter(context, context.options.probeInterval);
    this.timer = context.clock.setTimer(interval, () => this.tick());
    membership.detectPause();
    if (neighbours.length > 0) {
      this.neighbourIndex = (this.neighbourIndex + 1) % neighbours.length;
      this.probe(neighbours[this.neighbourIndex]!);
    }
    if (membership.localHealth.hasFailures()) {
      this.probeBeyondNeighbours(neighbours);
    }
  }

  /**
   * Pings a random peer beyond the neighbours. Only a larger sample shows whether missing responses
   * are due to the peers or to this daemon's own network.
   */
  private probeBeyondNeighbours(neighbours: readonly string[]): void {
    const { context, membership } = this.settings;
    const others = [...membership.table.values()]
      .filter(({ record }) => isRunning(record.state) && !neighbours.includes(record.id))
      .map(({ record }) => record.id)
      .filter((member) => this.settings.targets.isLocalHealthEvidence(member));
    pickRandom(context, others, 1).forEach((member) => this.probe(member));
  }

  /**
   * Any response shows that the network works, but only an ack from the member itself shows that the
   * member is running.
   */
  private handleProbeResult(
    member: string,
    startedAt: Milliseconds,
    response: PeerResponse | undefined,
  ): void {
    const { context, membership } = this.settings;
    this.recordCallResult(member, startedAt, response);
    if (response?.kind === 'ack') {
      return;
    }
    context.counters.probeFailures += 1;
    const maySuspect = this.settings.targets.isInOwnRegion(member);
    if (maySuspect && startedAt > membership.pauseDetector.resumedAt) {
      this.probeIndirectly(member, startedAt);
    }
  }

  /** Records a call's result for the called peer, unless this process was paused meanwhile. */
  private recordCallResult(
    peer: string,
    startedAt: Milliseconds,
    response: PeerResponse | undefined,
  ): void {
    const { membership } = this.settings;
    membership.detectPause();
    const isConclusive = response !== undefined || startedAt > membership.pauseDetector.resumedAt;
    const isMember = isRunning(membership.table.get(peer)?.record.state);
    if (isConclusive && isMember && this.settings.targets.isLocalHealthEvidence(peer)) {
      membership.localHealth.recordPeerResult(peer, response !== undefined);
    }
    if (response?.kind === 'ack') {
      this.settings.handleAck(peer, response);
    }
  }

  /**
   * Suspects a member that nobody reached, unless the fault may be local. A daemon whose own network
   * is broken would suspect one healthy peer after another, so it suspects only if another peer has
   * responded since the probe started and most of its peers respond.
   */
  private suspectUnlessUnhealthy(member: string, startedAt: Milliseconds): void {
    const { localHealth, pauseDetector } = this.settings.membership;
    const isNetworkWorking = localHealth.hasOtherResponse(member, startedAt);
    if (isNetworkWorking && !localHealth.isCutOff && startedAt > pauseDetector.resumedAt) {
      this.settings.membership.suspect(member);
    }
  }

  private pickRelays(member: string): string[] {
    const { context, targets, membership } = this.settings;
    const region = membership.table.get(member)?.record.region;
    const peers = (targets.getRegions().get(region ?? '') ?? []).filter((id) => id !== member);
    const neighbours = targets.getNeighbours().filter((id) => id !== member);
    const candidates = peers.length > 0 ? peers : neighbours;
    return pickRandom(context, candidates, context.options.indirectProbeCount);
  }

  private getAddress(member: string): string {
    return getMeshAddress(this.settings.membership.table.get(member)!.record);
  }
}
