import { getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { forwardingOptions } from '../forwardingOptions.js';

/** Settings of {@link ForwarderTable}. */
export interface ForwarderTableSettings {
  self: PeerEntry;
  clock: Clock;
}

interface Forwarder {
  entry: PeerEntry;
  /** Attempts of this daemon that it is forwarding. */
  inFlight: number;
  /** The peer reaches no replicas until then, by its own word. */
  isolatedUntil: Milliseconds;
  /** It refused an attempt or did not respond, and is not used until then. */
  avoidedUntil: Milliseconds;
}

/** Chooses the peers through which this daemon reaches replicas that it doesn't reach itself. */
export class ForwarderTable {
  private forwarders = new Map<string, Forwarder>();

  /** IDs of all peers, in the order in which this daemon prefers them. */
  private order: string[] = [];

  constructor(private readonly settings: ForwarderTableSettings) {}

  /** Sets the live daemons. */
  setFleet(daemons: readonly PeerEntry[]): void {
    const { self } = this.settings;
    const peers = daemons.filter(({ id }) => id !== self.id);
    this.forwarders = new Map(
      peers.map((entry) => {
        const known = this.forwarders.get(entry.id);
        const forwarder = known ?? { inFlight: 0, isolatedUntil: 0, avoidedUntil: 0 };
        return [entry.id, { ...forwarder, entry }];
      }),
    );
    const ids = peers.map(({ id }) => id);
    // Different daemons prefer different peers, so that one partition does not load a single peer.
    this.order = getRendezvousOrder(self.id, ids);
  }

  /**
   * Records the word of a peer on whether it reaches replicas.
   *
   * @returns whether this is new
   */
  recordIsolation(peer: string, isIsolated: boolean): boolean {
    const now = this.settings.clock.now();
    const wasIsolated = (this.forwarders.get(peer)?.isolatedUntil ?? 0) > now;
    const until = isIsolated ? now + forwardingOptions.isolationExpiry : 0;
    this.update(peer, { isolatedUntil: until });
    return isIsolated !== wasIsolated;
  }

  /** Records that a peer refused an attempt or did not respond. */
  recordFailure(peer: string): void {
    const avoidedUntil = this.settings.clock.now() + forwardingOptions.failureBackoff;
    this.update(peer, { avoidedUntil });
  }

  /** Counts an attempt that a peer starts to forward. */
  recordStart(peer: string): void {
    this.update(peer, { inFlight: (this.forwarders.get(peer)?.inFlight ?? 0) + 1 });
  }

  recordEnd(peer: string): void {
    this.update(peer, { inFlight: Math.max(0, (this.forwarders.get(peer)?.inFlight ?? 0) - 1) });
  }

  /** Whether any peer can forward attempts now. */
  get isAvailable(): boolean {
    return this.getCandidates(new Set()).length > 0;
  }

  /** @param excluded - IDs of peers that must not be chosen */
  choose(excluded: ReadonlySet<string>): PeerEntry | undefined {
    const { sameZonePreference } = forwardingOptions;
    const getCost = (forwarder: Forwarder) =>
      forwarder.inFlight + (this.isInSameZone(forwarder) ? 0 : sameZonePreference);
    const [best] = this.getCandidates(excluded).sort(
      (left, right) => getCost(left) - getCost(right),
    );
    return best?.entry;
  }

  /** Returns peers to ask about a path, from different availability zones as far as possible. */
  getPeers(count: number): PeerEntry[] {
    const zones = new Set<string>();
    const [first, others]: [PeerEntry[], PeerEntry[]] = [[], []];
    this.getUsable(new Set()).forEach(({ entry }) => {
      (zones.has(entry.availabilityZone) ? others : first).push(entry);
      zones.add(entry.availabilityZone);
    });
    return [...first, ...others].slice(0, count);
  }

  private getUsable(excluded: ReadonlySet<string>): Forwarder[] {
    const now = this.settings.clock.now();
    return this.order
      .filter((id) => !excluded.has(id))
      .map((id) => this.forwarders.get(id)!)
      .filter(({ isolatedUntil }) => isolatedUntil <= now);
  }

  /** The few peers that attempts are spread over, those in the same availability zone first. */
  private getCandidates(excluded: ReadonlySet<string>): Forwarder[] {
    const now = this.settings.clock.now();
    const usable = this.getUsable(excluded).filter(({ avoidedUntil }) => avoidedUntil <= now);
    const near = usable.filter((forwarder) => this.isInSameZone(forwarder));
    const far = usable.filter((forwarder) => !this.isInSameZone(forwarder));
    return [...near, ...far].slice(0, forwardingOptions.maxForwarders);
  }

  private isInSameZone({ entry }: Forwarder): boolean {
    return entry.availabilityZone === this.settings.self.availabilityZone;
  }

  private update(peer: string, parts: Partial<Forwarder>): void {
    const forwarder = this.forwarders.get(peer);
    if (forwarder !== undefined) {
      Object.assign(forwarder, parts);
    }
  }
}
