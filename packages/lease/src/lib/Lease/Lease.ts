import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { PutResult, StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { LeaseCalls, DISTANT_PAST } from './LeaseCalls.js';
import { getGrantedFencingNumber, parseLeaseRecord } from './LeaseRecord.js';
import type { LeaseCall, LeaseWrite } from './LeaseCalls.js';
import type { LeaseRecord } from './LeaseRecord.js';
import type { LeaseEffect, LeaseMessage } from './leaseMessages.js';
import type { LeaseOptions } from '../leaseOptions.js';

/** The last observed state of the object, and since when it has not changed. */
interface Observation {
  version: number;
  record: LeaseRecord | undefined;
  unchangedSince: Milliseconds;
}

/** A period for which this daemon holds the lease. */
interface Term {
  fencingNumber: number;
  expiresAt: Milliseconds;
  renewAt: Milliseconds;
}

/** The process that contends for a lease, and the timing of the lease. */
interface LeaseCandidate {
  self: string;
  incarnation: string;
  options: LeaseOptions;
}

const VACANT = { holder: '', holderIncarnation: '', fencingNumber: 0 };

/**
 * A lease in the platform's store, as a state machine without I/O.
 *
 * The clocks of different daemons are never compared. A candidate takes over only after the version
 * of the object has not changed for the whole lease duration, counted from the response that showed
 * the version. The holder counts from before it sent the write, and stops a safety margin earlier.
 * The write took effect between these two points, so the holder stops before the candidate takes
 * over.
 *
 * @internal
 */
export class Lease {
  private readonly calls: LeaseCalls;

  private observed: Observation | undefined;

  private term: Term | undefined;

  private rank = Number.POSITIVE_INFINITY;

  private outrankedSince: Milliseconds | undefined;

  private lastReadAt: Milliseconds = DISTANT_PAST;

  private standDownUntil: Milliseconds = DISTANT_PAST;

  /** The response to a write was lost: its result has to be read back. */
  private isWriteUncertain = false;

  private isReleasePending = false;

  /** The next renewal requests a new fencing number; until then this daemon does not act. */
  private needsNewGrant = false;

  constructor(private readonly candidate: LeaseCandidate) {
    this.calls = new LeaseCalls(candidate.options);
  }

  /** Handles a message and returns the resulting effects: at most one call, and a wake-up. */
  handle(message: LeaseMessage, now: Milliseconds): LeaseEffect[] {
    this.applyMessage(message, now);
    if (this.term !== undefined && now >= this.term.expiresAt) {
      this.term = undefined;
    }
    const effects = this.calls.isBusy() ? [] : [this.getNextEffect(now)];
    // While a call is in flight, the only change that time alone can cause is the end of the term.
    if (this.calls.isBusy() && this.term !== undefined) {
      effects.push({ kind: 'wake', at: this.term.expiresAt });
    }
    return effects;
  }

  /** Whether this daemon may act as the holder at this moment. */
  isHeld(now: Milliseconds): boolean {
    return (
      this.term !== undefined &&
      now < this.term.expiresAt &&
      !this.isReleasePending &&
      !this.needsNewGrant
    );
  }

  /** The current fencing number; undefined if the lease is not held. */
  getFencingNumber(now: Milliseconds): number | undefined {
    return this.isHeld(now) ? this.term?.fencingNumber : undefined;
  }

  /** Whether a requested release is not complete yet. */
  isReleasing(): boolean {
    return this.isReleasePending;
  }

  private applyMessage(message: LeaseMessage, now: Milliseconds): void {
    switch (message.kind) {
      case 'tick':
        this.rank = message.rank;
        this.yieldWhenOutranked(now);
        return;
      case 'release':
        this.isReleasePending = true;
        return;
      case 'fenced':
        // Either this daemon was replaced, in which case the conditional write of the renewal will
        // fail, or the number came from another lease, in which case a new grant exceeds it.
        this.needsNewGrant ||= this.term !== undefined && message.highest > this.term.fencingNumber;
        return;
      case 'suspended':
        // Another daemon may have taken the lease meanwhile: only a new grant proves otherwise.
        this.needsNewGrant ||= this.term !== undefined;
        return;
      case 'read-completed':
      case 'write-completed':
      case 'call-failed':
        this.handleResponse(message, now);
        return;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private handleResponse(
    message: Extract<LeaseMessage, { attempt: number }>,
    now: Milliseconds,
  ): void {
    const call = this.calls.complete(message.attempt);
    if (call === undefined) {
      return;
    }
    switch (message.kind) {
      case 'read-completed':
        this.isWriteUncertain = false;
        this.lastReadAt = now;
        this.observe(message.object, now);
        return;
      case 'write-completed':
        this.lastReadAt = now;
        this.handlePutResult(message.result, call, now);
        return;
      case 'call-failed':
        this.handleCallFailure(call, now);
        return;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private handlePutResult(result: PutResult, call: LeaseCall, now: Milliseconds): void {
    if (result.kind === 'accepted') {
      this.observe({ key: '', value: call.value ?? '', version: result.version }, now);
      return;
    }
    this.calls.nextWriteAt = now + this.candidate.options.retryDelay;
    this.observe(result.current, now);
  }

  private handleCallFailure(call: LeaseCall, now: Milliseconds): void {
    const retryAt = now + this.candidate.options.retryDelay;
    if (call.value === undefined) {
      this.calls.nextReadAt = retryAt;
      return;
    }
    this.isWriteUncertain = true;
    this.calls.nextWriteAt = retryAt;
  }

  /** Records the state of the object; an unchanged version adds no information. */
  private observe(object: StoredObject | undefined, now: Milliseconds): void {
    const version = object?.version ?? 0;
    if (this.observed?.version === version) {
      return;
    }
    const record = parseLeaseRecord(object);
    this.observed = { version, record, unchangedSince: now };
    this.term = this.getTerm(record, version);
    this.needsNewGrant &&= this.term !== undefined;
    this.calls.clearSentWrites();
  }

  /**
   * Returns the term that a record proves. This includes a write whose response was lost and that
   * was read back; its term still counts from before the write was sent.
   */
  private getTerm(record: LeaseRecord | undefined, version: number): Term | undefined {
    if (record === undefined || !this.isOwn(record)) {
      return undefined;
    }
    const sentAt = this.calls.getSentAt(record.renewals);
    if (sentAt === undefined) {
      return undefined;
    }
    this.needsNewGrant &&= record.fencingNumber !== 0;
    const { safetyMargin, renewalInterval } = this.candidate.options;
    return {
      fencingNumber: getGrantedFencingNumber(record, version),
      expiresAt: sentAt + record.grantedFor - safetyMargin,
      renewAt: sentAt + renewalInterval,
    };
  }

  private isOwn(record: LeaseRecord | undefined): boolean {
    const { self, incarnation } = this.candidate;
    return record?.holder === self && record.holderIncarnation === incarnation;
  }

  private yieldWhenOutranked(now: Milliseconds): void {
    if (this.term === undefined || this.rank === 0) {
      this.outrankedSince = undefined;
      return;
    }
    this.outrankedSince ??= now;
    if (now - this.outrankedSince >= this.candidate.options.yieldAfter) {
      this.isReleasePending = true;
    }
  }

  private getNextEffect(now: Milliseconds): LeaseEffect {
    if (this.isWriteUncertain) {
      return this.calls.read(this.calls.nextReadAt, now);
    }
    if (this.isReleasePending) {
      return this.getReleaseEffect(now);
    }
    if (this.term !== undefined) {
      return this.getHolderEffect(this.term, now);
    }
    return this.getStandbyEffect(now);
  }

  private getReleaseEffect(now: Milliseconds): LeaseEffect {
    if (this.isOwn(this.observed?.record)) {
      return this.calls.write(
        this.calls.nextWriteAt,
        this.createWrite({ ...VACANT, grantedFor: this.candidate.options.releaseCooldown }),
        now,
      );
    }
    this.isReleasePending = false;
    this.term = undefined;
    this.standDownUntil = now + this.candidate.options.duration;
    return { kind: 'wake', at: this.standDownUntil };
  }

  private getHolderEffect(term: Term, now: Milliseconds): LeaseEffect {
    const renewAt = Math.max(
      this.needsNewGrant ? DISTANT_PAST : term.renewAt,
      this.calls.nextWriteAt,
    );
    if (now < renewAt) {
      return { kind: 'wake', at: Math.min(renewAt, term.expiresAt) };
    }
    return this.calls.write(
      renewAt,
      this.createGrantWrite(this.needsNewGrant ? 0 : term.fencingNumber),
      now,
    );
  }

  private getStandbyEffect(now: Milliseconds): LeaseEffect {
    const { options } = this.candidate;
    if (this.rank >= options.maxCandidates || now < this.standDownUntil) {
      return { kind: 'wake', at: Math.max(this.standDownUntil, now + options.renewalInterval) };
    }
    const readAt = Math.max(this.lastReadAt + options.renewalInterval, this.calls.nextReadAt);
    if (this.observed === undefined) {
      return this.calls.read(readAt, now);
    }
    if (this.observed.version === 0) {
      return this.calls.write(this.calls.nextWriteAt, this.createVacantWrite(), now);
    }
    const takeoverAt = Math.max(this.getTakeoverTime(this.observed), this.calls.nextWriteAt);
    return readAt < takeoverAt
      ? this.calls.read(readAt, now)
      : this.calls.write(takeoverAt, this.createGrantWrite(0), now);
  }

  /** Returns when the lease may be taken, provided that its version does not change until then. */
  private getTakeoverTime(observed: Observation): Milliseconds {
    const { options } = this.candidate;
    if (this.isOwn(observed.record)) {
      return observed.unchangedSince;
    }
    const duration = observed.record?.grantedFor ?? options.duration;
    return observed.unchangedSince + duration + this.rank * options.candidateDelay;
  }

  /**
   * Returns the record to write if there is no object. A missing object has no version: between two
   * reads another daemon may have created the object, held the lease and had the object deleted. A
   * missing object is therefore never treated as an expired lease. This record gets a version,
   * which must then stay unchanged for a whole lease duration.
   */
  private createVacantWrite(): LeaseWrite {
    return this.createWrite({ ...VACANT, grantedFor: this.candidate.options.duration });
  }

  private createGrantWrite(fencingNumber: number): LeaseWrite {
    const { self, incarnation, options } = this.candidate;
    const holder = { holder: self, holderIncarnation: incarnation };
    return this.createWrite({ ...holder, grantedFor: options.duration, fencingNumber });
  }

  private createWrite(record: LeaseWrite['record']): LeaseWrite {
    return { record, expectedVersion: this.observed?.version ?? 0 };
  }
}
