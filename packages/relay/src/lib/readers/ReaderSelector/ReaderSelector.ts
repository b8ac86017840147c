import { getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import type { PeerEntry } from '../../peers/PeerDirectory.js';
import { readerOptions } from '../readerOptions.js';

/** Target of a read. */
export type ReadTarget =
  | { kind: 'store' }
  | { kind: 'daemon'; daemon: PeerEntry }
  /** No reader can reach the store, and this daemon has recently failed to reach it itself. */
  | { kind: 'no-source' };

/** Settings of a reader selector. */
export interface ReaderSelectorSettings {
  clock: Clock;
  random: Random;
  self: PeerEntry;
}

const MILLISECONDS_PER_SECOND = 1_000;

function getOrder(name: string, daemons: readonly PeerEntry[]): PeerEntry[] {
  const byId = new Map(daemons.map((daemon) => [daemon.id, daemon]));
  return getRendezvousOrder(name, [...byId.keys()]).map((id) => byId.get(id)!);
}

/** Orders the daemons of a group by preference: those on large instances before the others. */
function getCandidates(name: string, group: readonly PeerEntry[]): PeerEntry[] {
  const capacities = group.map(({ capacity }) => capacity ?? 0);
  const minCapacity = Math.max(...capacities) * readerOptions.minCapacityRatio;
  const isLarge = ({ capacity }: PeerEntry) => (capacity ?? 0) >= minCapacity;
  return [
    ...getOrder(name, group.filter(isLarge)),
    ...getOrder(
      name,
      group.filter((daemon) => !isLarge(daemon)),
    ),
  ];
}

/**
 * Decides whether this daemon reads the store itself or from another daemon, a reader.
 *
 * If all daemons read the store, each change would end a watch of every daemon, and each watch that
 * ends without a change would cost a call as well. With 195 daemons, that would be most of the calls
 * that the platform counts, and all daemons would call a store that returns from an outage at once.
 * Therefore, one daemon of each group reads the store for the others, and the next candidate replaces
 * it if it fails. A group is an availability zone, or the whole fleet for zones with too few daemons.
 *
 * A reader sends each change to its whole group, so that readers run on the largest instances.
 *
 * Daemons that know the same peers select the same reader without coordination. Where they differ, a
 * daemon that is called as a reader becomes one, and a daemon that finds no reader reads the store
 * itself. Too many readers cost additional calls, but do no other harm.
 *
 * @example
 * ```ts
 * const selector = new ReaderSelector({ clock, random, self });
 * selector.setDaemons(daemons);
 * selector.selectTarget(); // { kind: 'daemon', daemon: { id: 'edge-7', address: '10.1.0.7:7201' } }
 * ```
 */
export class ReaderSelector {
  /** The reader of the group, then its replacements; empty if every daemon reads the store. */
  private candidates: PeerEntry[] = [];

  private groupSize = 1;

  /** End of the cooldown of each reader that has failed, by ID. */
  private readonly cooldownUntil = new Map<string, Milliseconds>();

  /** Until when this daemon acts as a reader because another one has used it as a reader. */
  private readerUntil: Milliseconds = Number.NEGATIVE_INFINITY;

  /** When this daemon may call the store again while no reader can reach it. */
  private storeRetryAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** Earliest time at which the pauses may be ended again. */
  private pausesEndableAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly settings: ReaderSelectorSettings) {}

  /** Sets the live daemons, including this one. */
  setDaemons(daemons: readonly PeerEntry[]): void {
    if (daemons.length < readerOptions.minFleetSize) {
      this.candidates = [];
      this.groupSize = 1;
      return;
    }
    const { self } = this.settings;
    const zoneDaemons = daemons.filter(
      ({ availabilityZone }) => availabilityZone === self.availabilityZone,
    );
    const hasOwnReaders = zoneDaemons.length >= readerOptions.minZoneSize;
    const group = hasOwnReaders ? zoneDaemons : daemons;
    const name = hasOwnReaders ? `readers/${self.availabilityZone}` : 'readers';
    this.groupSize = group.length;
    this.candidates = getCandidates(name, group).slice(0, readerOptions.maxCandidates);
  }

  /** Whether some daemons read the store for others. */
  get hasReaders(): boolean {
    return this.candidates.length > 0;
  }

  /** Whether this daemon reads the store itself. */
  get isReader(): boolean {
    const { self, clock } = this.settings;
    return !this.hasReaders || this.candidates[0]!.id === self.id || clock.now() < this.readerUntil;
  }

  /** Whether no recent call of this daemon to the store has failed. */
  get mayCallStore(): boolean {
    return this.settings.clock.now() >= this.storeRetryAt;
  }

  selectTarget(): ReadTarget {
    const { self, clock } = this.settings;
    if (this.isReader) {
      return { kind: 'store' };
    }
    const now = clock.now();
    const daemon = this.candidates.find(
      ({ id }) => id !== self.id && now >= (this.cooldownUntil.get(id) ?? 0),
    );
    if (daemon !== undefined) {
      return { kind: 'daemon', daemon };
    }
    return this.mayCallStore ? { kind: 'store' } : { kind: 'no-source' };
  }

  /** Called when another daemon uses this one as a reader. */
  recordReaderRequest(): void {
    this.readerUntil = this.settings.clock.now() + readerOptions.requestedReaderPeriod;
  }

  /** @param isUnresponsive - whether the reader did not respond, rather than refuse */
  recordReaderFailure({ id }: PeerEntry, isUnresponsive: boolean): void {
    const cooldown = isUnresponsive ? readerOptions.silenceCooldown : readerOptions.refusalCooldown;
    this.cooldownUntil.set(id, this.settings.clock.now() + cooldown);
  }

  /**
   * Called when a call of this daemon to the store has failed. The delay until the next call grows
   * with the size of the group. Otherwise, all daemons of a large fleet would call a store that is
   * down twice per second each.
   */
  recordStoreFailure(): void {
    const { clock, random } = this.settings;
    const delay = (this.groupSize / readerOptions.maxStoreCallsPerSecond) * MILLISECONDS_PER_SECOND;
    this.storeRetryAt = clock.now() + delay * (0.5 + random.next());
  }

  /**
   * Called when other daemons know a later change than this one, which has no source: it may reach the
   * store and the readers again. Otherwise, the pauses could last longer than changes may take.
   */
  endPauses(): void {
    const now = this.settings.clock.now();
    if (now < this.pausesEndableAt) {
      return;
    }
    this.pausesEndableAt = now + readerOptions.minPause;
    this.storeRetryAt = Number.NEGATIVE_INFINITY;
    this.cooldownUntil.clear();
  }

  recordStoreSuccess(): void {
    this.storeRetryAt = Number.NEGATIVE_INFINITY;
  }
}
