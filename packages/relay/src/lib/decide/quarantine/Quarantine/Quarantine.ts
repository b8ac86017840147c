import { getRendezvousOrder } from '@apricotrill/utils';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { RelayReplica } from '../../../config/RelayConfiguration.js';
import type { Fleet } from '../../Fleet/Fleet.js';
import { ProbeResult } from '../../messages.js';
import type { PlacementEffect, PlacementUpdate, QuarantinedContent } from '../../messages.js';
import type { ReplicaState } from '../../ReplicaState/ReplicaState.js';
import { CrashExchange } from '../CrashExchange/CrashExchange.js';
import type { QuarantineUpdate } from '../CrashExchange/CrashExchange.js';
import { CrashLedger } from '../CrashLedger/CrashLedger.js';
import { isPartFingerprint } from '../getFingerprints/getFingerprints.js';
import { PossibleCrashes } from '../PossibleCrashes/PossibleCrashes.js';
import { EntryOrigin, QuarantineEntries } from '../QuarantineEntries/QuarantineEntries.js';
import { quarantineOptions } from '../quarantineOptions.js';
import { ServedContent } from '../ServedContent/ServedContent.js';

/** Dependencies of {@link Quarantine}. */
export interface QuarantineParts {
  clock: Clock;
  emit: (effect: PlacementEffect) => void;
  fleet: Fleet;
  /** Called when content is quarantined: its attempts must end, and no new one may start. */
  onQuarantined: (fingerprint: string) => void;
}

/** Whether a request may be sent. */
export enum Admission {
  Accepted = 'accepted',
  /** Accepted to find out whether replicas can serve a quarantined part of its prompt. */
  Trial = 'trial',
  Quarantined = 'quarantined',
  /** Its content has reached the crash threshold and awaits evaluation. */
  UnderReview = 'under-review',
}

/**
 * Rejects content that crashes the replicas that run it: requests that callers repeat, and parts of
 * prompts that otherwise different requests share.
 *
 * Such content may arrive at any daemon, and each run ends all requests on its replica. Daemons
 * therefore share what was in flight at crashes and what they have quarantined, so that crashes are
 * counted across the fleet.
 */
export class Quarantine {
  private readonly ledger: CrashLedger;

  private readonly possibleCrashes: PossibleCrashes;

  private readonly entries: QuarantineEntries;

  private readonly served: ServedContent;

  private readonly exchange: CrashExchange;

  private evaluationTimer: Timer | undefined;

  /** Latest time of the pending evaluation. */
  private evaluationDeadline: Milliseconds = 0;

  constructor(private readonly parts: QuarantineParts) {
    const { clock } = parts;
    this.ledger = new CrashLedger(clock);
    this.possibleCrashes = new PossibleCrashes(clock);
    this.entries = new QuarantineEntries(clock);
    this.served = new ServedContent(clock);
    this.exchange = new CrashExchange({
      ...parts,
      getReplicas: (fingerprint) => this.ledger.getReplicas(fingerprint),
    });
  }

  /** Number of quarantined requests and parts of prompts. */
  get size(): number {
    return this.entries.size;
  }

  has(fingerprint: string): boolean {
    return this.entries.has(fingerprint);
  }

  /** Returns the quarantined content of a request. */
  findQuarantined(fingerprints: readonly string[]): string[] {
    return fingerprints.filter((fingerprint) => this.has(fingerprint));
  }

  /** Decides whether a request with this content may be sent now. */
  admit(fingerprints: readonly string[]): Admission {
    const quarantined = this.findQuarantined(fingerprints);
    if (quarantined.length > 0) {
      const isTrial = this.tryTakeTrial(quarantined, fingerprints);
      return isTrial ? Admission.Trial : Admission.Quarantined;
    }
    return this.isUnderReview(fingerprints) ? Admission.UnderReview : Admission.Accepted;
  }

  /**
   * Whether a request may be sent again.
   *
   * @param isTrial - whether it is a trial whose last attempt had no result
   */
  mayRepeat(fingerprints: readonly string[], isTrial: boolean): boolean {
    return this.findQuarantined(fingerprints).every(
      (fingerprint) => isTrial && this.entries.tryRepeatTrial(fingerprint),
    );
  }

  /** Whether a replica crashed, or may have, with content of the request in flight. */
  isSuspect(fingerprints: readonly string[]): boolean {
    return fingerprints.some(
      (fingerprint) =>
        this.ledger.includes(fingerprint) || this.possibleCrashes.includes(fingerprint),
    );
  }

  /**
   * Restricts the candidates of a suspect request to the running replica that comes first in the
   * rendezvous order of its most suspect content. All daemons select the same one, so that the
   * content crashes one replica at a time.
   */
  restrictCandidates(
    fingerprints: readonly string[],
    candidates: readonly ReplicaState[],
  ): ReplicaState[] {
    const running = candidates.filter(({ replica }) => !this.ledger.has(replica.id));
    const ids = running.map(({ replica }) => replica.id);
    const [preferred] = getRendezvousOrder(this.getMostSuspect(fingerprints), ids);
    return running.filter(({ replica }) => replica.id === preferred);
  }

  /** Whether content of the request has reached the crash threshold and awaits evaluation. */
  isUnderReview(fingerprints: readonly string[]): boolean {
    return (
      this.evaluationTimer !== undefined &&
      fingerprints.some(
        (fingerprint) =>
          this.ledger.getReplicas(fingerprint).length >= quarantineOptions.crashThreshold,
      )
    );
  }

  /** Probes the replica of a broken attempt, unless its crash is known or a probe was requested. */
  recordBrokenAttempt(replica: RelayReplica, fingerprints: readonly string[]): void {
    if (this.ledger.has(replica.id)) {
      this.recordCrash(replica.id, fingerprints);
      return;
    }
    const unserved = fingerprints.filter((fingerprint) => !this.served.has(fingerprint));
    if (this.possibleCrashes.add(replica.id, unserved)) {
      this.parts.emit({ kind: 'probe', replica });
    }
  }

  /** Records the result of a probe. */
  recordProbe(replica: string, result: ProbeResult): void {
    switch (result) {
      case ProbeResult.Down:
        this.recordGone(replica);
        break;
      case ProbeResult.Up:
      case ProbeResult.PathLost:
        this.possibleCrashes.recordUp(replica);
        break;
      case ProbeResult.Unknown:
        break;
      default:
        result satisfies never;
    }
  }

  /** Records a crash if attempts at the replica broke before it disappeared. */
  recordGone(replica: string): void {
    const fingerprints = this.possibleCrashes.take(replica);
    if (fingerprints !== undefined) {
      this.recordCrash(replica, fingerprints);
    }
  }

  /** Clears content that a replica has served and kept running. */
  recordServed(fingerprints: readonly string[]): void {
    fingerprints.forEach((fingerprint) => {
      this.served.add(fingerprint);
      this.possibleCrashes.clear(fingerprint);
      if (this.ledger.includes(fingerprint) || this.entries.has(fingerprint)) {
        this.clear(fingerprint);
        this.exchange.shareCleared(fingerprint);
      }
    });
  }

  handlePeerUpdate(peer: string, update: QuarantineUpdate): void {
    switch (update.kind) {
      case 'crashed':
        this.handleCrash(update.replica, update.fingerprints);
        break;
      case 'cleared':
        this.handleCleared(update.fingerprint);
        break;
      case 'quarantined':
        this.addReported(
          update.contents.filter(({ fingerprint }) => !this.refute(peer, fingerprint)),
          EntryOrigin.Reported,
        );
        break;
      default:
        update satisfies never;
    }
  }

  /** Adds content quarantined before this daemon started. */
  restore(contents: readonly QuarantinedContent[]): void {
    this.addReported(contents, EntryOrigin.Restored);
  }

  /** Releases content, and tells the other daemons. */
  release(fingerprint: string): void {
    this.clear(fingerprint);
    this.exchange.shareCleared(fingerprint);
  }

  /** Returns what each regular message repeats, since datagrams can be lost. */
  getPeriodicUpdates(): PlacementUpdate[] {
    const contents = this.entries.takeRepeated();
    const quarantined: PlacementUpdate[] =
      contents.length > 0 ? [{ kind: 'quarantined', contents }] : [];
    return [...quarantined, ...this.exchange.getRepeatedCrashes()];
  }

  private addReported(contents: readonly QuarantinedContent[], origin: EntryOrigin): void {
    contents.forEach(({ fingerprint, remaining, replicas }) => {
      if (remaining > 0) {
        replicas.forEach((replica) => this.ledger.add(replica, [fingerprint]));
        this.addEntry(fingerprint, remaining, origin);
      }
    });
  }

  private getMostSuspect(fingerprints: readonly string[]): string {
    const counts = fingerprints.map((name) => this.ledger.getReplicas(name).length);
    return fingerprints[counts.indexOf(Math.max(...counts))]!;
  }

  /**
   * Takes a trial of a quarantined part. One daemon of the fleet makes it, with a request without
   * any other suspect content.
   */
  private tryTakeTrial(quarantined: readonly string[], fingerprints: readonly string[]): boolean {
    const [fingerprint] = quarantined;
    if (quarantined.length !== 1 || !isPartFingerprint(fingerprint!)) {
      return false;
    }
    const { self, members } = this.parts.fleet;
    const [owner = self] = getRendezvousOrder(fingerprint!, members);
    const isSuspect = this.isSuspect(fingerprints.filter((name) => name !== fingerprint));
    const isTaken = owner === self && !isSuspect && this.entries.tryTakeTrial(fingerprint!);
    if (isTaken) {
      this.parts.emit({ kind: 'trial', fingerprint: fingerprint! });
    }
    return isTaken;
  }

  /** Deletes the crashes of content, and releases it if it is quarantined. */
  private clear(fingerprint: string): void {
    this.ledger.clear(fingerprint);
    const origin = this.entries.release(fingerprint);
    if (origin !== undefined) {
      const isOwn = origin === EntryOrigin.Own;
      this.parts.emit({ kind: 'released', fingerprint, isOwn });
    }
  }

  private handleCleared(fingerprint: string): void {
    const isKnown = this.ledger.includes(fingerprint) || this.entries.has(fingerprint);
    this.clear(fingerprint);
    if (isKnown && this.exchange.isCollector(fingerprint)) {
      this.exchange.shareCleared(fingerprint);
    }
  }

  /**
   * Replies to a quarantine report that the content is cleared, if it was served or released
   * recently.
   *
   * @returns whether the report is refuted
   */
  private refute(peer: string, fingerprint: string): boolean {
    const isRefuted = this.served.has(fingerprint) || this.entries.wasReleased(fingerprint);
    if (isRefuted) {
      this.exchange.share({ kind: 'cleared', fingerprint }, peer);
    }
    return isRefuted;
  }

  private recordCrash(replica: string, fingerprints: readonly string[]): void {
    const unserved = fingerprints.filter((fingerprint) => !this.served.has(fingerprint));
    const added = this.ledger.add(replica, unserved);
    if (added.length === 0) {
      return;
    }
    added.forEach((fingerprint) => this.entries.recordCrash(fingerprint));
    this.parts.emit({ kind: 'crashed', replica, fingerprints: added });
    this.exchange.shareOwnCrash(replica, added);
    this.scheduleEvaluation();
  }

  private handleCrash(replica: string, fingerprints: readonly string[]): void {
    this.exchange.recordAnnounced(replica);
    const isTracked = this.possibleCrashes.has(replica);
    const served = fingerprints.filter((fingerprint) => this.served.has(fingerprint));
    const added = this.ledger.add(replica, fingerprints);
    added.forEach((fingerprint) => this.entries.recordCrash(fingerprint));
    if (isTracked) {
      this.recordGone(replica);
    }
    served.forEach((fingerprint) => {
      this.clear(fingerprint);
      this.exchange.shareCleared(fingerprint);
    });
    if (added.length > 0) {
      this.exchange.shareThresholdCrashes(added);
      this.scheduleEvaluation();
    }
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
    this.ledger
      .findResponsible((fingerprint) => this.entries.has(fingerprint))
      .forEach((fingerprint) => {
        const isOwn =
          this.exchange.hasOwnCrash(fingerprint) || this.exchange.isCollector(fingerprint);
        const origin = isOwn ? EntryOrigin.Own : EntryOrigin.Reported;
        this.addEntry(fingerprint, quarantineOptions.duration, origin);
      });
  }

  private addEntry(fingerprint: string, duration: Milliseconds, origin: EntryOrigin): void {
    const { emit, onQuarantined } = this.parts;
    const replicas = this.ledger.getReplicas(fingerprint);
    if (!this.entries.add(fingerprint, { duration, replicas, origin })) {
      return;
    }
    const content = this.entries.describe(fingerprint);
    const isOwn = origin === EntryOrigin.Own;
    if (isOwn) {
      this.exchange.share({ kind: 'quarantined', contents: [content] });
    }
    emit({ kind: 'quarantined', content, isOwn });
    this.releaseExplained(fingerprint);
    onQuarantined(fingerprint);
  }

  /** Releases requests whose crashes a quarantined part of prompts explains. */
  private releaseExplained(part: string): void {
    if (!isPartFingerprint(part)) {
      return;
    }
    this.entries.fingerprints
      .filter((other) => !isPartFingerprint(other) && this.ledger.isExplainedBy(other, part))
      .forEach((other) => this.clear(other));
  }
}
