import type { Milliseconds } from '@apricotrill/utils';
import type { LeaseRecord } from './LeaseRecord.js';
import type { LeaseEffect } from './leaseMessages.js';
import type { LeaseOptions } from '../leaseOptions.js';

/** The call under way; a write carries its text. */
export interface LeaseCall {
  attempt: number;
  value?: string;
}

/** A write to make: everything of the record but the number of the write itself. */
export interface LeaseWrite {
  record: Omit<LeaseRecord, 'renewals'>;
  expectedVersion: number;
}

/** Earlier than any time. */
export const NEVER = Number.NEGATIVE_INFINITY;

/**
 * The calls of one lease to the store: at most one under way, none sooner than allowed after a
 * failure, and the sending time of each write whose fate isn't known.
 *
 * @internal
 */
export class LeaseCalls {
  /** Not before this time after a read that failed. */
  readAfter: Milliseconds = NEVER;

  /** Not before this time after a write that failed or met a conflict. */
  writeAfter: Milliseconds = NEVER;

  private call: LeaseCall | undefined;

  private attempts = 0;

  private readonly sent = new Map<number, Milliseconds>();

  constructor(private readonly options: LeaseOptions) {}

  isBusy(): boolean {
    return this.call !== undefined;
  }

  /** Ends the call and returns it; undefined for a call that was given up before. */
  settle(attempt: number): LeaseCall | undefined {
    const { call } = this;
    if (call?.attempt !== attempt) {
      return undefined;
    }
    this.call = undefined;
    return call;
  }

  /** When the write that left `renewals` in the object was sent; undefined for any other write. */
  getSentAt(renewals: number): Milliseconds | undefined {
    return this.sent.get(renewals);
  }

  /** The object moved: a conditional write against an older version can't take effect any more. */
  forgetWrites(): void {
    this.sent.clear();
  }

  /** A read, or the wish to be woken when one is allowed. */
  read(at: Milliseconds, now: Milliseconds): LeaseEffect {
    if (now < at) {
      return { kind: 'wake', at };
    }
    this.attempts += 1;
    this.call = { attempt: this.attempts };
    return { kind: 'read', attempt: this.attempts };
  }

  /** A conditional write, or the wish to be woken when one is allowed. */
  write(at: Milliseconds, write: LeaseWrite, now: Milliseconds): LeaseEffect {
    if (now < at) {
      return { kind: 'wake', at };
    }
    this.attempts += 1;
    const attempt = this.attempts;
    const value = JSON.stringify({ ...write.record, renewals: attempt });
    this.call = { attempt, value };
    this.noteSent(attempt, now);
    return { kind: 'write', attempt, value, expectedVersion: write.expectedVersion };
  }

  /** Forgets writes so old that the term they would prove is over. */
  private noteSent(attempt: number, now: Milliseconds): void {
    this.sent.forEach((sentAt, earlier) => {
      if (now >= sentAt + this.options.span) {
        this.sent.delete(earlier);
      }
    });
    this.sent.set(attempt, now);
  }
}
