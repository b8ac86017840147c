import { getHash, getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import type { Fleet } from '../../Fleet/Fleet.js';
import type { PlacementEffect, PlacementUpdate } from '../../messages.js';
import { quarantineOptions } from '../quarantineOptions.js';

/** Updates about crashes and the content responsible for them. */
export type QuarantineUpdate = Extract<
  PlacementUpdate,
  { kind: 'crashed' | 'cleared' | 'quarantined' }
>;

/** Dependencies of {@link CrashExchange}. */
export interface CrashExchangeParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  fleet: Fleet;
  /** IDs of the replicas that crashed with the content in flight. */
  getReplicas: (fingerprint: string) => string[];
}

/** A crash that this daemon detected itself. */
interface OwnCrash {
  replica: string;
  at: Milliseconds;
  fingerprints: readonly string[];
}

/** Number of daemons in a large fleet that collect the crashes of one fingerprint. */
const COLLECTOR_COUNT = 2;

function chunk<Item>(items: readonly Item[], size: number): Item[][] {
  const count = Math.ceil(items.length / size);
  return Array.from({ length: count }, (_item, index) =>
    items.slice(index * size, (index + 1) * size),
  );
}

/**
 * Tells other daemons of crashes and of content that is cleared, so that crashes are counted across
 * the fleet. In a large fleet, two daemons selected by rendezvous hashing collect the crashes of a
 * fingerprint, which limits the number of messages.
 */
export class CrashExchange {
  private ownCrashes: OwnCrash[] = [];

  /** IDs of replicas whose crash has been announced to all daemons of a large fleet. */
  private announced = new Set<string>();

  constructor(private readonly parts: CrashExchangeParts) {}

  share(update: QuarantineUpdate, to?: string): void {
    this.parts.emit({ kind: 'share', update, to });
  }

  /** Shares a crash that this daemon detected. */
  shareOwnCrash(replica: string, fingerprints: readonly string[]): void {
    const { clock, fleet } = this.parts;
    this.ownCrashes.push({ replica, at: clock.now(), fingerprints });
    if (fleet.isLarge) {
      this.shareWithCollectors(replica, fingerprints);
      this.scheduleAnnouncement(replica);
    } else {
      this.shareCrash(replica, fingerprints);
    }
  }

  /** Whether this daemon detected a crash with the content in flight. */
  hasOwnCrash(fingerprint: string): boolean {
    return this.ownCrashes.some(({ fingerprints }) => fingerprints.includes(fingerprint));
  }

  /** Tells all daemons that content is cleared; in a large fleet through its collectors. */
  shareCleared(fingerprint: string): void {
    const { fleet } = this.parts;
    const update = { kind: 'cleared', fingerprint } as const;
    if (!fleet.isLarge || this.isCollector(fingerprint)) {
      this.share(update);
    } else {
      this.getCollectors(fingerprint).forEach((collector) => this.share(update, collector));
    }
  }

  /** Whether this daemon collects the crashes of the content for a large fleet. */
  isCollector(fingerprint: string): boolean {
    const { fleet } = this.parts;
    return fleet.isLarge && this.getCollectors(fingerprint).includes(fleet.self);
  }

  recordAnnounced(replica: string): void {
    const newest = [...this.announced].slice(-quarantineOptions.maxCrashes);
    this.announced = new Set([...newest, replica]);
  }

  /** As a collector, shares the crashes of content that reaches the threshold with all daemons. */
  shareThresholdCrashes(fingerprints: readonly string[]): void {
    fingerprints
      .filter((fingerprint) => this.isCollector(fingerprint))
      .forEach((fingerprint) => {
        const replicas = this.parts.getReplicas(fingerprint);
        if (replicas.length >= quarantineOptions.crashThreshold) {
          replicas.forEach((replica) => this.shareCrash(replica, [fingerprint]));
        }
      });
  }

  /** Returns the crashes that each regular message repeats, since datagrams can be lost. */
  getRepeatedCrashes(): PlacementUpdate[] {
    const { maxCrashesPerDatagram, maxFingerprintsPerDatagram, repeatPeriod } = quarantineOptions;
    const oldest = this.parts.clock.now() - repeatPeriod;
    this.ownCrashes = this.ownCrashes.filter(({ at }) => at > oldest);
    if (this.parts.fleet.isLarge) {
      return [];
    }
    return this.ownCrashes.slice(-maxCrashesPerDatagram).map(({ replica, fingerprints }) => ({
      kind: 'crashed',
      replica,
      fingerprints: fingerprints.slice(0, maxFingerprintsPerDatagram),
    }));
  }

  private shareCrash(replica: string, fingerprints: readonly string[], to?: string): void {
    chunk(fingerprints, quarantineOptions.maxFingerprintsPerDatagram).forEach((part) =>
      this.share({ kind: 'crashed', replica, fingerprints: part }, to),
    );
  }

  private getCollectors(fingerprint: string): string[] {
    return getRendezvousOrder(fingerprint, this.parts.fleet.members).slice(0, COLLECTOR_COUNT);
  }

  /** Sends a crash to the collectors of each fingerprint. */
  private shareWithCollectors(replica: string, fingerprints: readonly string[]): void {
    const { self } = this.parts.fleet;
    const byCollector = new Map<string, string[]>();
    fingerprints.forEach((fingerprint) => {
      this.getCollectors(fingerprint).forEach((collector) => {
        byCollector.set(collector, [...(byCollector.get(collector) ?? []), fingerprint]);
      });
    });
    byCollector.forEach((collected, collector) => {
      if (collector === self) {
        this.shareThresholdCrashes(collected);
      } else {
        this.shareCrash(replica, collected, collector);
      }
    });
  }

  /** Announces a crash to all daemons after a delay, unless another daemon does so first. */
  private scheduleAnnouncement(replica: string): void {
    const { clock, fleet } = this.parts;
    const delay = getHash(`${replica} ${fleet.self}`) % quarantineOptions.announcementJitter;
    clock.setTimer(delay, () => {
      if (!this.announced.has(replica)) {
        this.recordAnnounced(replica);
        this.share({ kind: 'crashed', replica, fingerprints: [] });
      }
    });
  }
}
