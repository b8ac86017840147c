import type { Milliseconds } from '@apricotrill/utils';
import type { CancelReason } from '../messages.js';
import type { ReplicaState } from '../ReplicaChooser/ReplicaState.js';
import { Delay } from '../ReplicaChooser/StragglerDetector.js';

/** Tokens over which one gap is averaged, so that a stream doesn't flood the measurements. */
const GAP_TOKENS = 16;

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

  /** Why the scheduler cancelled it, if it did. */
  cancelReason: CancelReason | undefined;

  private lastAt: Milliseconds | undefined;

  private gapFrom: Milliseconds = 0;

  private gapTokens = 0;

  constructor(
    parts: Pick<
      Attempt,
      'number' | 'state' | 'startedAt' | 'firstTokenTimeout' | 'tokenGapTimeout'
    >,
  ) {
    this.number = parts.number;
    this.state = parts.state;
    this.startedAt = parts.startedAt;
    this.firstTokenTimeout = parts.firstTokenTimeout;
    this.tokenGapTimeout = parts.tokenGapTimeout;
  }

  /** When the replica has been silent for too long. */
  get silentAt(): Milliseconds {
    return this.lastAt === undefined
      ? this.startedAt + this.firstTokenTimeout
      : this.lastAt + this.tokenGapTimeout;
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
      return { delay: Delay.FirstToken, value: now - this.startedAt };
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
