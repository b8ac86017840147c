import { getHash, getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayReplica } from '../../../config/RelayConfiguration.js';
import type { Fleet } from '../../Fleet/Fleet.js';
import { ProbeResult } from '../../messages.js';
import type { PlacementEffect, QuarantinedRequest, PlacementUpdate } from '../../messages.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { CrashLedger } from '../CrashLedger/CrashLedger.js';
import { quarantineOptions } from '../quarantineOptions.js';

/** Dependencies of {@link Quarantine}. */
export interface QuarantineParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  fleet: Fleet;
  /** Called when a request is quarantined: its attempts must end, and no new one may start. */
  onQuarantined: (fingerprint: string) => void;
}

/** Updates about crashes and the requests responsible for them. */
export type QuarantineUpdate = Extract<
  PlacementUpdate,
  { kind: 'crashed' | 'cleared' | 'quarantined' }
>;

/** A replica with broken attempts that is not known to have crashed. */
interface PossibleCrash {
  at: Milliseconds;
  fingerprints: Set<string>;
  /** Whether its address accepts connections; the listener may already be a successor. */
  isUp: boolean;
}

/** A crash that this daemon detected itself. */
interface OwnCrash {
  replica: string;
  at: Milliseconds;
  fingerprints: string[];
}

interface Entry {
  until: Milliseconds;
  replicas: string[];
  /** Whether this daemon reports the entry immediately and stores it. */
  isOwn: boolean;
}

/** Number of daemons in a large fleet that collect the crashes of one request. */
const COLLECTOR_COUNT = 2;

function chunk<Item>(items: readonly Item[], size: number): Item[][] {
  const count = Math.ceil(items.length / size);
  return Array.from({ length: count }, (_item, index) =>
    items.slice(index * size, (index + 1) * size),
  );
}

/**
 * Rejects requests that crash the replicas that run them.
 *
 * Callers may repeat such a request at any daemon, and each run ends all requests on its replica.
 * Daemons therefore share which requests were in flight at crashes, and which requests they have
 * quarantined, so that crashes are counted across the fleet. In a large fleet, two daemons selected
 * by rendezvous hashing collect the crashes of a request, which limits the number of messages.
 */
export class Quarantine {
  private readonly ledger: CrashLedger;

  private readonly possibleCrashes = new Map<string, PossibleCrash>();

  private readonly entries = new Map<string, Entry>();

  /** When each request was last served, in ascending order of time. */
  private readonly servedAt = new Map<string, Milliseconds>();

  private ownCrashes: OwnCrash[] = [];

  /** IDs of replicas whose crash has been announced to all daemons of a large fleet. */
  private announced = new Set<string>();

  private evaluationTimer: Timer | undefined;

  /** Latest time of the pending evaluation. */
  private evaluationDeadline: Milliseconds = 0;

  /** Released requests, and until when quarantine reports from other daemons are rejected. */
  private readonly released = new Map<string, Milliseconds>();

  /** Index of the first entry for the next regular message. */
  private nextRepeated = 0;

  constructor(private readonly parts: QuarantineParts) {
    this.ledger = new CrashLedger(parts.clock);
  }

  /** Number of quarantined requests. */
  get size(): number {
    this.expire();
    return this.entries.size;
  }

  has(fingerprint: string): boolean {
    const until = this.entries.get(fingerprint)?.until ?? 0;
    return until > this.parts.clock.now();
  }

  /** Whether a replica crashed, or may have, with the request in flight. */
  isSuspect(fingerprint: string): boolean {
    this.expirePossibleCrashes();
    return (
      this.ledger.getReplicas(fingerprint).length > 0 ||
      [...this.possibleCrashes.values()].some(
        ({ fingerprints, isUp }) => !isUp && fingerprints.has(fingerprint),
      )
    );
  }

  /**
   * Restricts the candidates of a suspect request to the running replica that comes first in its
   * rendezvous order. All daemons select the same one, so that the request crashes one replica at a
   * time.
   */
  restrictCandidates(fingerprint: string, candidates: readonly ReplicaState[]): ReplicaState[] {
    const running = candidates.filter(({ replica }) => !this.ledger.has(replica.id));
    const ids = running.map(({ replica }) => replica.id);
    const [preferred] = getRendezvousOrder(fingerprint, ids);
    return running.filter(({ replica }) => replica.id === preferred);
  }

  /** Whether the request has reached the crash threshold and awaits evaluation. */
  isUnderReview(fingerprint: string): boolean {
    const { length } = this.ledger.getReplicas(fingerprint);
    return this.evaluationTimer !== undefined && length >= quarantineOptions.crashThreshold;
  }

  /** Probes the replica of a broken attempt, unless its crash is known or a probe was requested. */
  recordBrokenAttempt(replica: RelayReplica, fingerprint: string): void {
    if (this.ledger.has(replica.id)) {
      this.recordCrash(replica.id, [fingerprint]);
      return;
    }
    const possible = this.possibleCrashes.get(replica.id);
    if (possible !== undefined) {
      possible.fingerprints.add(fingerprint);
      return;
    }
    this.expirePossibleCrashes();
    this.possibleCrashes.set(replica.id, {
      at: this.parts.clock.now(),
      fingerprints: new Set([fingerprint]),
      isUp: false,
    });
    this.parts.emit({ kind: 'probe', replica });
  }

  /** Records the result of a probe. */
  recordProbe(replica: string, result: ProbeResult): void {
    const possible = this.possibleCrashes.get(replica);
    switch (result) {
      case ProbeResult.Down:
        this.recordGone(replica);
        break;
      case ProbeResult.Up:
      case ProbeResult.PathLost:
        if (possible !== undefined) {
          possible.isUp = true;
        }
        break;
      case ProbeResult.Unknown:
        break;
      default:
        result satisfies never;
    }
  }

  /** Records a crash if attempts at the replica broke before it disappeared. */
  recordGone(replica: string): void {
    this.expirePossibleCrashes();
    const possible = this.possibleCrashes.get(replica);
    this.possibleCrashes.delete(replica);
    if (possible !== undefined) {
      this.recordCrash(replica, [...possible.fingerprints]);
    }
  }

  /** Clears a request that a replica has served and kept running. */
  recordServed(fingerprint: string): void {
    this.servedAt.delete(fingerprint);
    this.servedAt.set(fingerprint, this.parts.clock.now());
    this.expireServed();
    const isKnown = this.ledger.getReplicas(fingerprint).length > 0;
    this.possibleCrashes.forEach(({ fingerprints }) => fingerprints.delete(fingerprint));
    if (isKnown) {
      this.clear(fingerprint);
      this.share({ kind: 'cleared', fingerprint });
    }
  }

  /** Deletes the crashes of a request, and releases it if it is quarantined. */
  private clear(fingerprint: string): void {
    const entry = this.entries.get(fingerprint);
    this.ledger.clear(fingerprint);
    if (entry !== undefined) {
      this.entries.delete(fingerprint);
      this.released.set(fingerprint, this.parts.clock.now() + quarantineOptions.releaseRetention);
      this.parts.emit({ kind: 'released', fingerprint, isOwn: entry.isOwn });
    }
  }

  /**
   * Replies to a quarantine report that the request is cleared, if it was served or released
   * recently.
   *
   * @returns whether the report is refuted
   */
  private refute(peer: string, fingerprint: string): boolean {
    const releasedUntil = this.released.get(fingerprint) ?? 0;
    const isRefuted = this.wasServedRecently(fingerprint) || releasedUntil > this.parts.clock.now();
    if (isRefuted) {
      this.share({ kind: 'cleared', fingerprint }, peer);
    }
    return isRefuted;
  }

  handlePeerUpdate(peer: string, update: QuarantineUpdate): void {
    switch (update.kind) {
      case 'crashed':
        this.handleCrash(update.replica, update.fingerprints);
        break;
      case 'cleared':
        this.clear(update.fingerprint);
        break;
      case 'quarantined':
        this.restore(update.requests.filter(({ fingerprint }) => !this.refute(peer, fingerprint)));
        break;
      default:
        update satisfies never;
    }
  }

  /** Adds requests quarantined by another daemon, or before this one started. */
  restore(requests: readonly QuarantinedRequest[]): void {
    const now = this.parts.clock.now();
    requests.forEach(({ fingerprint, remaining, replicas }) => {
      const duration = Math.min(remaining, quarantineOptions.duration);
      if (duration > 0) {
        replicas.forEach((replica) => this.ledger.add(replica, [fingerprint]));
        const entry = { until: now + duration, replicas: [...replicas], isOwn: false };
        this.addEntry(fingerprint, entry);
      }
    });
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const { maxRequestsPerDatagram } = quarantineOptions;
    this.expire();
    const now = this.parts.clock.now();
    this.ownCrashes = this.ownCrashes.filter(({ at }) => at > now - quarantineOptions.repeatPeriod);
    const entries = [...this.entries];
    const first = this.nextRepeated < entries.length ? this.nextRepeated : 0;
    const repeated = entries.slice(first, first + maxRequestsPerDatagram);
    this.nextRepeated = first + repeated.length;
    const updates: PlacementUpdate[] = [];
    if (repeated.length > 0) {
      updates.push({
        kind: 'quarantined',
        requests: repeated.map((entry) => this.toRequest(entry)),
      });
    }
    if (!this.parts.fleet.isLarge) {
      this.ownCrashes.slice(-maxRequestsPerDatagram).forEach(({ replica, fingerprints }) => {
        const part = fingerprints.slice(0, quarantineOptions.maxFingerprintsPerDatagram);
        updates.push({ kind: 'crashed', replica, fingerprints: part });
      });
    }
    return updates;
  }

  private recordCrash(replica: string, fingerprints: readonly string[]): void {
    const { clock, emit, fleet } = this.parts;
    const unserved = fingerprints.filter((fingerprint) => !this.wasServedRecently(fingerprint));
    const added = this.ledger.add(replica, unserved);
    if (added.length === 0) {
      return;
    }
    this.ownCrashes.push({ replica, at: clock.now(), fingerprints: added });
    emit({ kind: 'crashed', replica, fingerprints: added });
    if (fleet.isLarge) {
      this.shareWithCollectors(replica, added);
      this.scheduleAnnouncement(replica);
    } else {
      this.shareCrash(replica, added);
    }
    this.scheduleEvaluation();
  }

  private handleCrash(replica: string, fingerprints: readonly string[]): void {
    this.recordAnnounced(replica);
    const possible = this.possibleCrashes.get(replica);
    const served = fingerprints.filter((fingerprint) => this.wasServedRecently(fingerprint));
    const added = this.ledger.add(replica, fingerprints);
    if (possible !== undefined) {
      this.recordGone(replica);
    }
    served.forEach((fingerprint) => {
      this.clear(fingerprint);
      this.share({ kind: 'cleared', fingerprint });
    });
    if (added.length > 0) {
      this.shareThresholdCrashes(added);
      this.scheduleEvaluation();
    }
  }

  private shareCrash(replica: string, fingerprints: readonly string[], to?: string): void {
    chunk(fingerprints, quarantineOptions.maxFingerprintsPerDatagram).forEach((part) =>
      this.share({ kind: 'crashed', replica, fingerprints: part }, to),
    );
  }

  private getCollectors(fingerprint: string): string[] {
    return getRendezvousOrder(fingerprint, this.parts.fleet.members).slice(0, COLLECTOR_COUNT);
  }

  /** Sends a crash to the collectors of each request. */
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

  /** As a collector, shares the crashes of requests that reach the threshold with all daemons. */
  private shareThresholdCrashes(fingerprints: readonly string[]): void {
    const { fleet } = this.parts;
    if (!fleet.isLarge) {
      return;
    }
    fingerprints
      .filter((fingerprint) => this.getCollectors(fingerprint).includes(fleet.self))
      .forEach((fingerprint) => {
        const replicas = this.ledger.getReplicas(fingerprint);
        if (replicas.length >= quarantineOptions.crashThreshold) {
          replicas.forEach((replica) => this.shareCrash(replica, [fingerprint]));
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

  private recordAnnounced(replica: string): void {
    const newest = [...this.announced].slice(-quarantineOptions.maxCrashes);
    this.announced = new Set([...newest, replica]);
  }

  /** Evaluates crashes after the last of a series of reports, within an upper bound. */
  private scheduleEvaluation(): void {
    const { clock } = this.parts;
    const { evaluationDelay, maxEvaluationDelay } = quarantineOptions;
    const now = clock.now();
    if (this.evaluationTimer === undefined) {
      this.evaluationDeadline = now + maxEvaluationDelay;
    }
    this.evaluationTimer?.cancel();
    const delay = Math.min(evaluationDelay, this.evaluationDeadline - now);
    this.evaluationTimer = clock.setTimer(delay, () => {
      this.evaluationTimer = undefined;
      this.evaluate();
    });
  }

  private evaluate(): void {
    const until = this.parts.clock.now() + quarantineOptions.duration;
    this.ledger
      .findResponsible((fingerprint) => this.entries.has(fingerprint))
      .forEach((fingerprint) => {
        const replicas = this.ledger.getReplicas(fingerprint);
        const isOwn = this.ownCrashes.some((crash) => crash.fingerprints.includes(fingerprint));
        const isCollector =
          this.parts.fleet.isLarge &&
          this.getCollectors(fingerprint).includes(this.parts.fleet.self);
        this.addEntry(fingerprint, { until, replicas, isOwn: isOwn || isCollector });
      });
  }

  private addEntry(fingerprint: string, entry: Entry): void {
    const { emit, onQuarantined } = this.parts;
    const known = this.entries.get(fingerprint);
    if (known !== undefined) {
      known.until = Math.max(known.until, entry.until);
      return;
    }
    this.evict();
    this.entries.set(fingerprint, entry);
    const request = this.toRequest([fingerprint, entry]);
    if (entry.isOwn) {
      this.share({ kind: 'quarantined', requests: [request] });
    }
    emit({ kind: 'quarantined', request, isOwn: entry.isOwn });
    onQuarantined(fingerprint);
  }

  private toRequest([fingerprint, { until, replicas }]: [string, Entry]): QuarantinedRequest {
    const remaining = until - this.parts.clock.now();
    return {
      fingerprint,
      remaining,
      replicas: replicas.slice(0, quarantineOptions.crashThreshold),
    };
  }

  private evict(): void {
    this.expire();
    if (this.entries.size >= quarantineOptions.maxEntries) {
      const [first] = [...this.entries].sort(([, left], [, right]) => left.until - right.until);
      this.entries.delete(first![0]);
    }
  }

  private expire(): void {
    const now = this.parts.clock.now();
    this.released.forEach((until, fingerprint) => {
      if (until <= now) {
        this.released.delete(fingerprint);
      }
    });
    this.entries.forEach(({ until }, fingerprint) => {
      // The crashes are kept: one more quarantines the request again, and serving it clears them.
      if (until <= now) {
        this.entries.delete(fingerprint);
      }
    });
  }

  /** Whether a replica served the request recently, which rules it out as the cause of a crash. */
  private wasServedRecently(fingerprint: string): boolean {
    const at = this.servedAt.get(fingerprint);
    return at !== undefined && at > this.parts.clock.now() - quarantineOptions.servedRetention;
  }

  private expireServed(): void {
    const oldest = this.parts.clock.now() - quarantineOptions.servedRetention;
    for (const [fingerprint, at] of this.servedAt) {
      if (at >= oldest && this.servedAt.size <= quarantineOptions.maxServed) {
        return;
      }
      this.servedAt.delete(fingerprint);
    }
  }

  private expirePossibleCrashes(): void {
    const oldest = this.parts.clock.now() - quarantineOptions.possibleCrashRetention;
    this.possibleCrashes.forEach(({ at }, replica) => {
      if (at < oldest) {
        this.possibleCrashes.delete(replica);
      }
    });
  }

  private share(update: QuarantineUpdate, to?: string): void {
    this.parts.emit({ kind: 'share', update, to });
  }
}
