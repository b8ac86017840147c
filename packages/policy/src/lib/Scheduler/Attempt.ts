import type { Milliseconds } from '@apricotrill/utils';
import { CancelReason } from '../messages.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import { DelayKind } from '../ReplicaChooser/StragglerDetector.js';

/** Tokens averaged into one token gap sample, so that long streams don't dominate the samples. */
const TOKENS_PER_GAP_SAMPLE = 8;

/**
 * A latency measured on an attempt.
 *
 * @internal
 */
export interface Measurement {
  delay: DelayKind;
  value: Milliseconds;
}

/**
 * One send of a request to a replica.
 *
 * @internal
 */
export class Attempt {
  readonly number: number;

  readonly state: ReplicaState;

  readonly startedAt: Milliseconds;

  readonly firstTokenTimeout: Milliseconds;

  readonly tokenGapTimeout: Milliseconds;

  /**
   * Whether the replica appeared to have a free slot when the attempt was sent. If not, the time to
   * the first token includes queueing at the replica and is no measure of the replica's speed.
   */
  readonly hadFreeSlot: boolean;

  /** When to preempt a less urgent request for this attempt, unless its first token arrives first. */
  private preemptAt: Milliseconds | undefined;

  /** Why the scheduler cancelled the attempt; undefined if it did not. */
  cancelReason: CancelReason | undefined;

  private lastTokenAt: Milliseconds | undefined;

  private gapSampleStartedAt: Milliseconds = 0;

  private gapSampleTokens = 0;

  constructor(
    parts: Pick<
      Attempt,
      'number' | 'state' | 'startedAt' | 'firstTokenTimeout' | 'tokenGapTimeout' | 'hadFreeSlot'
    >,
  ) {
    this.number = parts.number;
    this.state = parts.state;
    this.startedAt = parts.startedAt;
    this.firstTokenTimeout = parts.firstTokenTimeout;
    this.tokenGapTimeout = parts.tokenGapTimeout;
    this.hadFreeSlot = parts.hadFreeSlot;
  }

  /** When the attempt times out if no further token arrives. */
  get timesOutAt(): Milliseconds {
    return this.lastTokenAt === undefined
      ? this.startedAt + this.firstTokenTimeout
      : this.lastTokenAt + this.tokenGapTimeout;
  }

  /** Whether the scheduler cancelled the attempt for a reason that is not counted as its failure. */
  get isFaultlessCancel(): boolean {
    return (
      this.cancelReason === CancelReason.Preempted || this.cancelReason === CancelReason.Straggling
    );
  }

  /** Whether the first token has arrived, which means that the attempt holds a slot. */
  get hasFirstToken(): boolean {
    return this.lastTokenAt !== undefined;
  }

  /**
   * Returns when the attempt must be checked next.
   *
   * @param margin - added to the timeout, so that the owner of the scheduler can act first
   */
  getNextCheckAt(margin: Milliseconds): Milliseconds {
    const timesOutAt = this.timesOutAt + margin;
    return this.hasFirstToken ? timesOutAt : Math.min(timesOutAt, this.preemptAt ?? timesOutAt);
  }

  schedulePreemption(at: Milliseconds): void {
    this.preemptAt = at;
  }

  /** Returns whether the scheduled preemption is due, and clears it if so. */
  takeDuePreemption(now: Milliseconds): boolean {
    const isDue = !this.hasFirstToken && this.preemptAt !== undefined && now >= this.preemptAt;
    this.preemptAt = isDue ? undefined : this.preemptAt;
    return isDue;
  }

  markCancelled(reason: CancelReason): void {
    this.cancelReason = reason;
  }

  /** Records delivered tokens. Returns a measurement if these tokens complete one. */
  recordTokens(tokens: number, now: Milliseconds): Measurement | undefined {
    const isFirst = this.lastTokenAt === undefined;
    this.lastTokenAt = now;
    if (isFirst) {
      this.gapSampleStartedAt = now;
      return this.hadFreeSlot
        ? { delay: DelayKind.FirstToken, value: now - this.startedAt }
        : undefined;
    }
    this.gapSampleTokens += tokens;
    if (this.gapSampleTokens < TOKENS_PER_GAP_SAMPLE) {
      return undefined;
    }
    const value = (now - this.gapSampleStartedAt) / this.gapSampleTokens;
    this.gapSampleStartedAt = now;
    this.gapSampleTokens = 0;
    return { delay: DelayKind.TokenGap, value };
  }
}
