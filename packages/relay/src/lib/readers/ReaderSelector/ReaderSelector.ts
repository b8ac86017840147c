import { getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { readerOptions } from '../readerOptions.js';

/** Where the next read goes. */
export type ReadPlace =
  | { kind: 'store' }
  | { kind: 'daemon'; daemon: PeerEntry }
  /** No reader reaches the store, and this daemon has tried itself a moment ago. */
  | { kind: 'no-source' };

/** What the choice is made of. */
export interface ReaderSelectorParts {
  clock: Clock;
  random: Random;
  self: PeerEntry;
}

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Decides whether this daemon reads the store, or asks one that does.
 *
 * Load pattern: each change in the store ends a watch of every daemon, and each watch that ends
 * without one is a call as well. At 195 daemons that is most of what the platform counts, and a
 * store that returns from an outage is met by all of them at once. So one daemon of each group, an
 * availability zone where it has enough of them, reads for the others, and the next in order stands in
 * for it. Daemons that hear the same
 * others agree on the reader without a word; where they don't, one that is asked becomes a reader,
 * and a daemon that finds no reader reads the store itself. Too many readers cost calls, and nothing
 * else.
 *
 * @example
 * ```ts
 * const choice = new ReaderChoice({ clock, random, self });
 * choice.setDaemons(daemons);
 * choice.choose(); // { kind: 'daemon', daemon: { id: 'edge-7', address: '10.1.0.7:7201' } }
 * ```
 */
export class ReaderSelector {
  /** The group's reader, and the daemons that stand in for it; none where every daemon reads. */
  private order: PeerEntry[] = [];

  private groupSize = 1;

  private readonly avoidedUntil = new Map<string, Milliseconds>();

  private askedUntil: Milliseconds = Number.NEGATIVE_INFINITY;

  /** While no reader reaches the store, when this daemon tries it again. */
  private storeRetryAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly parts: ReaderSelectorParts) {}

  /** Takes over which daemons are heard, this one included. */
  setDaemons(daemons: readonly PeerEntry[]): void {
    if (daemons.length < readerOptions.leastFleet) {
      this.order = [];
      this.groupSize = 1;
      return;
    }
    const { self } = this.parts;
    const near = daemons.filter(
      ({ availabilityZone }) => availabilityZone === self.availabilityZone,
    );
    const hasOwnReaders = near.length >= readerOptions.leastGroup;
    const group = hasOwnReaders ? near : daemons;
    const byId = new Map(group.map((daemon) => [daemon.id, daemon]));
    const name = hasOwnReaders ? `readers/${self.availabilityZone}` : 'readers';
    this.groupSize = group.length;
    this.order = getRendezvousOrder(name, [...byId.keys()])
      .slice(0, readerOptions.maxCandidates)
      .map((id) => byId.get(id)!);
  }

  /** Whether some daemons read the store for others. */
  get hasReaders(): boolean {
    return this.order.length > 0;
  }

  /** Whether this daemon reads the store itself. */
  get isReader(): boolean {
    const { self, clock } = this.parts;
    return !this.hasReaders || this.order[0]!.id === self.id || clock.now() < this.askedUntil;
  }

  choose(): ReadPlace {
    const { self, clock } = this.parts;
    if (this.isReader) {
      return { kind: 'store' };
    }
    const now = clock.now();
    const daemon = this.order.find(
      ({ id }) => id !== self.id && now >= (this.avoidedUntil.get(id) ?? 0),
    );
    if (daemon !== undefined) {
      return { kind: 'daemon', daemon };
    }
    return now < this.storeRetryAt ? { kind: 'no-source' } : { kind: 'store' };
  }

  /** Another daemon takes this one for a reader. */
  recordReaderRequest(): void {
    this.askedUntil = this.parts.clock.now() + readerOptions.dutySpan;
  }

  /** @param isSilent - whether it gave no answer at all */
  noteFailed({ id }: PeerEntry, isSilent: boolean): void {
    const span = isSilent ? readerOptions.silentSpan : readerOptions.refusedSpan;
    this.avoidedUntil.set(id, this.parts.clock.now() + span);
  }

  /**
   * The store gave this daemon no answer. What goes wrong without a pause that grows with the group:
   * all daemons of a large fleet call a store that is down, twice a second each.
   */
  noteStoreFailed(): void {
    const { clock, random } = this.parts;
    const span = (this.groupSize / readerOptions.triesPerSecond) * MILLISECONDS_PER_SECOND;
    this.storeRetryAt = clock.now() + span * (0.5 + random.next());
  }

  noteStoreAnswered(): void {
    this.storeRetryAt = Number.NEGATIVE_INFINITY;
  }
}
