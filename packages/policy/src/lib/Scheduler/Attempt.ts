import type { Milliseconds } from '@apricotrill/utils';
import { CancelReason } from '../messages.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import { Delay } from '../ReplicaChooser/StragglerDetector.js';

/** Tokens over which one gap is averaged, so that a stream doesn't flood the measurements. */
const GAP_TOKENS = 8;

/**
 * Something measured of an attempt.
 *
 * @internal
 */
export interface Measurement {
  delay: Delay;
  value: Milliseconds;
}

/**
 * One request at one replica.
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
   * The replica seemed to have a free slot. Otherwise its first token says how long it waited
   * there, and nothing about the replica's speed.
   */
  readonly hadRoom: boolean;

  /** When a less urgent request is to be stopped for it, unless it has answered by then. */
  private preemptAt: Milliseconds | undefined;

  /** Why the scheduler cancelled it, if it did. */
  cancelReason: CancelReason | undefined;

  private lastAt: Milliseconds | undefined;

  private gapFrom: Milliseconds = 0;

  private gapTokens = 0;

  constructor(
    parts: Pick<
      Attempt,
      'number' | 'state' | 'startedAt' | 'firstTokenTimeout' | 'tokenGapTimeout' | 'hadRoom'
    >,
  ) {
    this.number = parts.number;
    this.state = parts.state;
    this.startedAt = parts.startedAt;
    this.firstTokenTimeout = parts.firstTokenTimeout;
    this.tokenGapTimeout = parts.tokenGapTimeout;
    this.hadRoom = parts.hadRoom;
  }

  /** When the replica has been silent for too long. */
  get silentAt(): Milliseconds {
    return this.lastAt === undefined
      ? this.startedAt + this.firstTokenTimeout
      : this.lastAt + this.tokenGapTimeout;
  }

  /** Whether the scheduler ended it for reasons that say nothing about the replica's answer. */
  get isOwnCancel(): boolean {
    return (
      this.cancelReason === CancelReason.Preempted || this.cancelReason === CancelReason.Straggling
    );
  }

  /** Whether the replica has begun to answer, and so has given it a slot. */
  get hasAnswered(): boolean {
    return this.lastAt !== undefined;
  }

  /** When to look at it next, counted without the owner's margin. */
  getNextCheck(margin: Milliseconds): Milliseconds {
    const silentAt = this.silentAt + margin;
    return this.hasAnswered ? silentAt : Math.min(silentAt, this.preemptAt ?? silentAt);
  }

  preemptLater(at: Milliseconds): void {
    this.preemptAt = at;
  }

  /** Whether it is time to stop another request for it; true once. */
  takePreemption(now: Milliseconds): boolean {
    const isDue = !this.hasAnswered && this.preemptAt !== undefined && now >= this.preemptAt;
    this.preemptAt = isDue ? undefined : this.preemptAt;
    return isDue;
  }

  cancel(reason: CancelReason): void {
    this.cancelReason = reason;
  }

  /** Notes tokens; returns a measurement when one is complete. */
  progress(tokens: number, now: Milliseconds): Measurement | undefined {
    const isFirst = this.lastAt === undefined;
    this.lastAt = now;
    if (isFirst) {
      this.gapFrom = now;
      return this.hadRoom ? { delay: Delay.FirstToken, value: now - this.startedAt } : undefined;
    }
    this.gapTokens += tokens;
    if (this.gapTokens < GAP_TOKENS) {
      return undefined;
    }
    const value = (now - this.gapFrom) / this.gapTokens;
    this.gapFrom = now;
    this.gapTokens = 0;
    return { delay: Delay.TokenGap, value };
  }
}
