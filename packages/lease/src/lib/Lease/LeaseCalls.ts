import type { Milliseconds } from '@apricotrill/utils';
import type { LeaseRecord } from './LeaseRecord.js';
import type { LeaseEffect } from './leaseMessages.js';
import type { LeaseOptions } from '../leaseOptions.js';

/** A call in flight; a write includes the text that it stores. */
export interface LeaseCall {
  attempt: number;
  value?: string;
}

/** A conditional write: the record without the number of the write. */
export interface LeaseWrite {
  record: Omit<LeaseRecord, 'renewals'>;
  expectedVersion: number;
}

/** A time before any other. */
export const DISTANT_PAST = Number.NEGATIVE_INFINITY;

/**
 * Tracks the store calls of one lease: allows at most one call in flight, delays retries after a
 * failure, and remembers when each unconfirmed write was sent.
 *
 * @internal
 */
export class LeaseCalls {
  /** Earliest time of the next read, after a failed read. */
  nextReadAt: Milliseconds = DISTANT_PAST;

  /** Earliest time of the next write, after a write that failed or had a conflict. */
  nextWriteAt: Milliseconds = DISTANT_PAST;

  private pendingCall: LeaseCall | undefined;

  private attempts = 0;

  private readonly sentTimes = new Map<number, Milliseconds>();

  constructor(private readonly options: LeaseOptions) {}

  isBusy(): boolean {
    return this.pendingCall !== undefined;
  }

  /** Completes and returns the call in flight; undefined if the attempt was abandoned before. */
  complete(attempt: number): LeaseCall | undefined {
    const { pendingCall } = this;
    if (pendingCall?.attempt !== attempt) {
      return undefined;
    }
    this.pendingCall = undefined;
    return pendingCall;
  }

  /**
   * Returns when the write with this `renewals` number was sent; undefined for an unknown write.
   */
  getSentAt(renewals: number): Milliseconds | undefined {
    return this.sentTimes.get(renewals);
  }

  /** Called when the object changed: older conditional writes can no longer take effect. */
  clearSentWrites(): void {
    this.sentTimes.clear();
  }

  /** Returns a read, or a wake-up at the time when a read is allowed. */
  read(at: Milliseconds, now: Milliseconds): LeaseEffect {
    if (now < at) {
      return { kind: 'wake', at };
    }
    this.attempts += 1;
    this.pendingCall = { attempt: this.attempts };
    return { kind: 'read', attempt: this.attempts };
  }

  /** Returns a conditional write, or a wake-up at the time when a write is allowed. */
  write(at: Milliseconds, write: LeaseWrite, now: Milliseconds): LeaseEffect {
    if (now < at) {
      return { kind: 'wake', at };
    }
    this.attempts += 1;
    const attempt = this.attempts;
    const value = JSON.stringify({ ...write.record, renewals: attempt });
    this.pendingCall = { attempt, value };
    this.recordSent(attempt, now);
    return { kind: 'write', attempt, value, expectedVersion: write.expectedVersion };
  }

  /** Records a write, and evicts those so old that the term they would prove has expired. */
  private recordSent(attempt: number, now: Milliseconds): void {
    this.sentTimes.forEach((sentAt, earlier) => {
      if (now >= sentAt + this.options.duration) {
        this.sentTimes.delete(earlier);
      }
    });
    this.sentTimes.set(attempt, now);
  }
}
