import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent } from '../CoreContext.js';
import type { DaemonIdentity, MemberRecord, RecordVersion } from '../Member.js';
import { isNewerRecord, MemberState } from '../Member.js';

/** Incarnations are the start time in milliseconds times this, plus a random offset below it. */
const INCARNATIONS_PER_MILLISECOND = 1024;

/** Keeps two processes with the same id from outbidding each other without pause. */
const MIN_RAISE_INTERVAL_MS = 5000;

/**
 * This daemon's own record. Nothing is persisted across restarts, so the incarnation is derived from
 * the clock, with a random offset to tell apart two starts within one millisecond.
 */
export class SelfRecord {
  private record: MemberRecord;

  private raisedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  /** @param onChange - called with each new record, which must be gossiped to peers */
  constructor(
    private readonly context: CoreContext,
    identity: DaemonIdentity,
    private readonly onChange: (record: MemberRecord) => void,
  ) {
    const { clock, random } = context;
    const incarnation =
      Math.floor(clock.now()) * INCARNATIONS_PER_MILLISECOND +
      random.integer(INCARNATIONS_PER_MILLISECOND);
    this.record = { ...identity, incarnation, refutation: 0, state: MemberState.Alive };
  }

  get(): MemberRecord {
    return this.record;
  }

  /** Marks this process as leaving for good: a later refutation keeps the leaving state. */
  leave(): void {
    if (this.record.state !== MemberState.Leaving) {
      this.set({ ...this.record, state: MemberState.Leaving });
    }
  }

  /** Refutes what peers report about this daemon if it would win over its own record. */
  refute(reported: RecordVersion): void {
    if (reported.incarnation > this.record.incarnation) {
      this.raiseIncarnation(reported.incarnation);
    } else if (isNewerRecord(reported, this.record)) {
      const refutation = reported.refutation + 1;
      this.context.counters.refutations += 1;
      emitEvent(this.context, { kind: 'self-refuted', refutation });
      this.set({ ...this.record, refutation });
    }
  }

  /**
   * Raises the incarnation above a higher one known to peers, which comes from an earlier process
   * or machine whose clock was ahead. Otherwise peers would discard every record of this process as
   * outdated.
   */
  private raiseIncarnation(known: number): void {
    const now = this.context.clock.now();
    if (now - this.raisedAt < MIN_RAISE_INTERVAL_MS) {
      return;
    }
    this.raisedAt = now;
    const from = this.record.incarnation;
    const to =
      known +
      INCARNATIONS_PER_MILLISECOND +
      this.context.random.integer(INCARNATIONS_PER_MILLISECOND);
    emitEvent(this.context, { kind: 'incarnation-raised', from, to });
    this.set({ ...this.record, incarnation: to, refutation: 0 });
  }

  private set(record: MemberRecord): void {
    this.record = record;
    this.onChange(record);
  }
}
