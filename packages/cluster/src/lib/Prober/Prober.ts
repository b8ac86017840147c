import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { jitter, pickSome } from '../CoreContext.js';
import { getMeshAddress, isRunning } from '../Member.js';
import type { Membership } from '../Membership/Membership.js';
import type { PeerAnswer, Rumour } from '../messages.js';
import type { PeerCalls } from '../PeerCalls/PeerCalls.js';
import type { ProbeTargets } from '../ProbeTargets/ProbeTargets.js';

/** What the prober works with. */
export interface ProberParts {
  context: CoreContext;
  membership: Membership;
  targets: ProbeTargets;
  calls: PeerCalls;
  getGeneration: () => number;
  takeRumours: () => Rumour[];
  /** Takes what an answer carries beside the answer. */
  hear: (member: string, answer: PeerAnswer) => void;
}

/**
 * Finds out who no longer answers: probes a neighbour at a time, asks other peers to try when it
 * does not answer, and has it suspected when they cannot reach it either.
 */
export class Prober {
  private timer: Timer | undefined;

  private turn = 0;

  constructor(private readonly parts: ProberParts) {}

  /** Starts to probe, at a phase of its own. */
  start(): void {
    const { context } = this.parts;
    const phase = context.options.probeInterval * context.random.next();
    this.timer = context.clock.setTimer(phase, () => this.tick());
  }

  /** Probes one member now. */
  probe(member: string, onResult: (succeeded: boolean) => void = () => {}): void {
    const { context, membership, calls } = this.parts;
    const record = membership.table.get(member)?.record;
    if (record === undefined || !isRunning(record.state)) {
      return;
    }
    const startedAt = context.clock.now();
    context.counters.probes += 1;
    const request = {
      kind: 'ping',
      generation: this.parts.getGeneration(),
      member,
      rumours: [...membership.getWordOn(member), ...this.parts.takeRumours()],
    } as const;
    calls.call(getMeshAddress(record), request, context.options.probeTimeout, (answer) => {
      this.settle(member, startedAt, answer);
      onResult(answer?.kind === 'ack');
    });
  }

  /** Asks other peers whether they reach a member that did not answer. */
  private probeThroughPeers(member: string, startedAt: Milliseconds): void {
    const { context, membership, calls } = this.parts;
    const record = membership.table.get(member)?.record;
    const relays = this.getRelays(member);
    if (record === undefined || relays.length === 0) {
      this.conclude(member, startedAt);
      return;
    }
    let open = relays.length;
    let isReached = false;
    relays.forEach((relay) => {
      const request = {
        kind: 'ping-through',
        generation: this.parts.getGeneration(),
        member,
        address: getMeshAddress(record),
        rumours: membership.getWordOn(member),
      } as const;
      const timeout = context.options.probeTimeout + context.options.indirectTimeout;
      calls.call(this.getAddress(relay), request, timeout, (answer) => {
        open -= 1;
        isReached ||= answer?.kind === 'ack';
        this.note(relay, startedAt, answer);
        if (open === 0 && !isReached) {
          this.conclude(member, startedAt);
        }
      });
    });
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private tick(): void {
    const { context, membership, targets } = this.parts;
    const neighbours = targets.getNeighbours();
    const interval = jitter(context, context.options.probeInterval);
    this.timer = context.clock.setTimer(interval, () => this.tick());
    membership.noticePause();
    if (neighbours.length > 0) {
      this.turn = (this.turn + 1) % neighbours.length;
      this.probe(neighbours[this.turn]!);
    }
    if (membership.experience.hasFailures()) {
      this.widenSample(neighbours);
    }
  }

  /** Tries peers beyond the neighbours: whose fault silence is shows in a larger sample only. */
  private widenSample(neighbours: readonly string[]): void {
    const { context, membership } = this.parts;
    const others = [...membership.table.values()]
      .filter(({ record }) => isRunning(record.state) && !neighbours.includes(record.id))
      .map(({ record }) => record.id)
      .filter((member) => this.parts.targets.isInOwnCircle(member));
    pickSome(context, others, 1).forEach((member) => this.probe(member));
  }

  /** Any answer shows that the network works; only one by the member that it is there. */
  private settle(member: string, startedAt: Milliseconds, answer: PeerAnswer | undefined): void {
    const { context, membership } = this.parts;
    this.note(member, startedAt, answer);
    if (answer?.kind === 'ack') {
      return;
    }
    context.counters.probeFailures += 1;
    const maySuspect = this.parts.targets.isOursToJudge(member);
    if (maySuspect && startedAt > membership.pause.resumedAt) {
      this.probeThroughPeers(member, startedAt);
    }
  }

  /** Keeps what a call says about the peer called, unless this process slept meanwhile. */
  private note(peer: string, startedAt: Milliseconds, answer: PeerAnswer | undefined): void {
    const { membership } = this.parts;
    membership.noticePause();
    const isTelling = answer !== undefined || startedAt > membership.pause.resumedAt;
    const isMember = isRunning(membership.table.get(peer)?.record.state);
    if (isTelling && isMember && this.parts.targets.isInOwnCircle(peer)) {
      membership.experience.record(peer, answer !== undefined);
    }
    if (answer?.kind === 'ack') {
      this.parts.hear(peer, answer);
    }
  }

  /**
   * Nobody reached the member. A daemon whose own network is broken would suspect one healthy peer
   * after the other: it needs somebody else's answer since the probe began, and most of its peers
   * answering, before it says so.
   */
  private conclude(member: string, startedAt: Milliseconds): void {
    const { experience, pause } = this.parts.membership;
    const isProven = experience.hasOtherAnswer(member, startedAt);
    if (isProven && !experience.isCutOff && startedAt > pause.resumedAt) {
      this.parts.membership.suspect(member);
    }
  }

  private getRelays(member: string): string[] {
    const { context, targets, membership } = this.parts;
    const region = membership.table.get(member)?.record.region;
    const peers = (targets.getRegions().get(region ?? '') ?? []).filter((id) => id !== member);
    const neighbours = targets.getNeighbours().filter((id) => id !== member);
    const candidates = peers.length > 0 ? peers : neighbours;
    return pickSome(context, candidates, context.options.indirectProbes);
  }

  private getAddress(member: string): string {
    return getMeshAddress(this.parts.membership.table.get(member)!.record);
  }
}
