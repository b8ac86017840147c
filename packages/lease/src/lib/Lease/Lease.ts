import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { PutResult, StoredObject } from '@apricotrill/store';
import type { Milliseconds } from '@apricotrill/utils';
import { LeaseCalls, NEVER } from './LeaseCalls.js';
import { getGrantedFencingNumber, parseLeaseRecord } from './LeaseRecord.js';
import type { LeaseCall, LeaseWrite } from './LeaseCalls.js';
import type { LeaseRecord } from './LeaseRecord.js';
import type { LeaseEffect, LeaseMessage } from './leaseMessages.js';
import type { LeaseOptions } from '../leaseOptions.js';

/** The object as last seen, and since when it has been seen not to move. */
interface Sighting {
  version: number;
  record: LeaseRecord | undefined;
  since: Milliseconds;
}

/** A stretch of time in which this daemon holds the lease. */
interface Term {
  fencingNumber: number;
  until: Milliseconds;
  renewAt: Milliseconds;
}

/** Who contends for a lease, and how it is timed. */
interface Contender {
  self: string;
  incarnation: string;
  options: LeaseOptions;
}

const VACANT = { holder: '', holderIncarnation: '', fencingNumber: 0 };

/**
 * One lease at the platform's store, as a state machine without I/O.
 *
 * No two daemons' clocks are compared. A stand-by takes over only after it has itself seen the
 * object's version not move for the whole span, counted from the answer that showed the version.
 * The holder counts from before it sent the write, and stops a margin earlier. The write happened
 * between the two, so the holder's end lies before the stand-by's take-over.
 *
 * @internal
 */
export class Lease {
  private readonly calls: LeaseCalls;

  private seen: Sighting | undefined;

  private term: Term | undefined;

  private rank = Number.POSITIVE_INFINITY;

  private outrankedSince: Milliseconds | undefined;

  private readAt: Milliseconds = NEVER;

  private restUntil: Milliseconds = NEVER;

  /** A write's answer was lost: its fate has to be read back. */
  private unsure = false;

  private releasing = false;

  /** The next renewal asks for a new fencing number; until then this daemon does not act. */
  private regrant = false;

  constructor(private readonly contender: Contender) {
    this.calls = new LeaseCalls(contender.options);
  }

  /** Takes a message in and returns what to do: at most one call, and when to wake. */
  handle(message: LeaseMessage, now: Milliseconds): LeaseEffect[] {
    this.take(message, now);
    if (this.term !== undefined && now >= this.term.until) {
      this.term = undefined;
    }
    const effects = this.calls.isBusy() ? [] : [this.next(now)];
    // While a call is under way, all that time alone can change is the end of the term.
    if (this.calls.isBusy() && this.term !== undefined) {
      effects.push({ kind: 'wake', at: this.term.until });
    }
    return effects;
  }

  /** Whether this daemon may act as holder at this moment. */
  isHeld(now: Milliseconds): boolean {
    return this.term !== undefined && now < this.term.until && !this.releasing && !this.regrant;
  }

  /** The number for orders; undefined when the lease isn't held. */
  getFencingNumber(now: Milliseconds): number | undefined {
    return this.isHeld(now) ? this.term?.fencingNumber : undefined;
  }

  /** Whether a release asked for is still under way. */
  isReleasing(): boolean {
    return this.releasing;
  }

  private take(message: LeaseMessage, now: Milliseconds): void {
    switch (message.kind) {
      case 'tick':
        this.rank = message.rank;
        this.yieldWhenOutranked(now);
        return;
      case 'release':
        this.releasing = true;
        return;
      case 'fenced':
        // Either this daemon was replaced, and the conditional update of the renewal will say so; or
        // the number came from another lease, and a fresh grant is higher than it.
        this.regrant ||= this.term !== undefined && message.highest > this.term.fencingNumber;
        return;
      case 'suspended':
        // Another daemon may have taken the lease meanwhile: only a fresh grant proves otherwise.
        this.regrant ||= this.term !== undefined;
        return;
      case 'read-answered':
      case 'write-answered':
      case 'call-failed':
        this.takeAnswer(message, now);
        return;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private takeAnswer(message: Extract<LeaseMessage, { attempt: number }>, now: Milliseconds): void {
    const call = this.calls.settle(message.attempt);
    if (call === undefined) {
      return;
    }
    switch (message.kind) {
      case 'read-answered':
        this.unsure = false;
        this.readAt = now;
        this.see(message.object, now);
        return;
      case 'write-answered':
        this.readAt = now;
        this.takeOutcome(message.outcome, call, now);
        return;
      case 'call-failed':
        this.takeFailure(call, now);
        return;
      default:
        throw exhaustiveSwitchError(message);
    }
  }

  private takeOutcome(outcome: PutResult, call: LeaseCall, now: Milliseconds): void {
    if (outcome.kind === 'accepted') {
      this.see({ key: '', value: call.value ?? '', version: outcome.version }, now);
      return;
    }
    this.calls.writeAfter = now + this.contender.options.retry;
    this.see(outcome.current, now);
  }

  private takeFailure(call: LeaseCall, now: Milliseconds): void {
    const retryAt = now + this.contender.options.retry;
    if (call.value === undefined) {
      this.calls.readAfter = retryAt;
      return;
    }
    this.unsure = true;
    this.calls.writeAfter = retryAt;
  }

  /** Takes note of the object; a version seen before says nothing new. */
  private see(object: StoredObject | undefined, now: Milliseconds): void {
    const version = object?.version ?? 0;
    if (this.seen?.version === version) {
      return;
    }
    const record = parseLeaseRecord(object);
    this.seen = { version, record, since: now };
    this.term = this.getTerm(record, version);
    this.regrant &&= this.term !== undefined;
    this.calls.forgetWrites();
  }

  /**
   * The term that a record proves. When the answer to our write was lost, reading back shows it
   * here, and the term still counts from before that write was sent.
   */
  private getTerm(record: LeaseRecord | undefined, version: number): Term | undefined {
    if (record === undefined || !this.isOwn(record)) {
      return undefined;
    }
    const sentAt = this.calls.getSentAt(record.renewals);
    if (sentAt === undefined) {
      return undefined;
    }
    this.regrant &&= record.fencingNumber !== 0;
    const { margin, renewal } = this.contender.options;
    return {
      fencingNumber: getGrantedFencingNumber(record, version),
      until: sentAt + record.grantedFor - margin,
      renewAt: sentAt + renewal,
    };
  }

  private isOwn(record: LeaseRecord | undefined): boolean {
    const { self, incarnation } = this.contender;
    return record?.holder === self && record.holderIncarnation === incarnation;
  }

  private yieldWhenOutranked(now: Milliseconds): void {
    if (this.term === undefined || this.rank === 0) {
      this.outrankedSince = undefined;
      return;
    }
    this.outrankedSince ??= now;
    if (now - this.outrankedSince >= this.contender.options.yieldAfter) {
      this.releasing = true;
    }
  }

  private next(now: Milliseconds): LeaseEffect {
    if (this.unsure) {
      return this.calls.read(this.calls.readAfter, now);
    }
    if (this.releasing) {
      return this.nextOfRelease(now);
    }
    if (this.term !== undefined) {
      return this.nextOfHolder(this.term, now);
    }
    return this.nextOfStandBy(now);
  }

  private nextOfRelease(now: Milliseconds): LeaseEffect {
    if (this.isOwn(this.seen?.record)) {
      return this.calls.write(
        this.calls.writeAfter,
        this.getWrite({ ...VACANT, grantedFor: this.contender.options.rest }),
        now,
      );
    }
    this.releasing = false;
    this.term = undefined;
    this.restUntil = now + this.contender.options.span;
    return { kind: 'wake', at: this.restUntil };
  }

  private nextOfHolder(term: Term, now: Milliseconds): LeaseEffect {
    const renewAt = Math.max(this.regrant ? NEVER : term.renewAt, this.calls.writeAfter);
    if (now < renewAt) {
      return { kind: 'wake', at: Math.min(renewAt, term.until) };
    }
    return this.calls.write(renewAt, this.getGrant(this.regrant ? 0 : term.fencingNumber), now);
  }

  private nextOfStandBy(now: Milliseconds): LeaseEffect {
    const { options } = this.contender;
    if (this.rank >= options.candidates || now < this.restUntil) {
      return { kind: 'wake', at: Math.max(this.restUntil, now + options.renewal) };
    }
    const readAt = Math.max(this.readAt + options.renewal, this.calls.readAfter);
    if (this.seen === undefined) {
      return this.calls.read(readAt, now);
    }
    if (this.seen.version === 0) {
      return this.calls.write(this.calls.writeAfter, this.getVacancy(), now);
    }
    const freeAt = Math.max(this.getFreeAt(this.seen), this.calls.writeAfter);
    return readAt < freeAt
      ? this.calls.read(readAt, now)
      : this.calls.write(freeAt, this.getGrant(0), now);
  }

  /** When the lease may be taken, if its version doesn't move until then. */
  private getFreeAt(seen: Sighting): Milliseconds {
    const { options } = this.contender;
    if (this.isOwn(seen.record)) {
      return seen.since;
    }
    const span = seen.record?.grantedFor ?? options.span;
    return seen.since + span + this.rank * options.candidateDelay;
  }

  /**
   * What is written where there is no object. Absence has no version: somebody may create the
   * object, hold the lease and have it deleted unseen between two looks. So absence is never taken
   * for an expired lease; this record gets a version, which is then watched for a whole span.
   */
  private getVacancy(): LeaseWrite {
    return this.getWrite({ ...VACANT, grantedFor: this.contender.options.span });
  }

  private getGrant(fencingNumber: number): LeaseWrite {
    const { self, incarnation, options } = this.contender;
    const holder = { holder: self, holderIncarnation: incarnation };
    return this.getWrite({ ...holder, grantedFor: options.span, fencingNumber });
  }

  private getWrite(record: LeaseWrite['record']): LeaseWrite {
    return { record, expectedVersion: this.seen?.version ?? 0 };
  }
}
