import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { decide } from '../CoreContext.js';
import type { DaemonIdentity, MemberRecord, RecordVersion } from '../Member.js';
import { isNewerRecord, MemberState } from '../Member.js';

const RANDOM_SHARE = 1024;

/** Least time between two raises, so that two processes of one id don't race each other upwards. */
const RAISE_INTERVAL = 5000;

/**
 * This daemon's own record. It keeps nothing over a restart, so its incarnation comes from the
 * clock, with a random share for two starts within a millisecond.
 */
export class SelfRecord {
  private record: MemberRecord;

  private raisedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param onChange - told of each new record, which peers have to hear of */
  constructor(
    private readonly context: CoreContext,
    identity: DaemonIdentity,
    private readonly onChange: (record: MemberRecord) => void,
  ) {
    const { clock, random } = context;
    const incarnation = Math.floor(clock.now()) * RANDOM_SHARE + random.integer(RANDOM_SHARE);
    this.record = { ...identity, incarnation, refutation: 0, state: MemberState.Alive };
  }

  get(): MemberRecord {
    return this.record;
  }

  /** From now on every record of this process says so: a refutation must not take it back. */
  leave(): void {
    if (this.record.state !== MemberState.Leaving) {
      this.set({ ...this.record, state: MemberState.Leaving });
    }
  }

  /** Contradicts what peers say of this daemon if it would hold against its own record. */
  hear(word: RecordVersion): void {
    if (word.incarnation > this.record.incarnation) {
      this.raise(word.incarnation);
    } else if (isNewerRecord(word, this.record)) {
      const refutation = word.refutation + 1;
      this.context.counters.refutations += 1;
      decide(this.context, { kind: 'self-refuted', refutation });
      this.set({ ...this.record, refutation });
    }
  }

  /**
   * A higher incarnation of this id is known: the clock of the process before ran ahead, or of the
   * machine before. Peers would take every word of this process for an old one.
   */
  private raise(known: number): void {
    const now = this.context.clock.now();
    if (now - this.raisedAt < RAISE_INTERVAL) {
      return;
    }
    this.raisedAt = now;
    const from = this.record.incarnation;
    const to = known + RANDOM_SHARE + this.context.random.integer(RANDOM_SHARE);
    decide(this.context, { kind: 'incarnation-raised', from, to });
    this.set({ ...this.record, incarnation: to, refutation: 0 });
  }

  private set(record: MemberRecord): void {
    this.record = record;
    this.onChange(record);
  }
}
