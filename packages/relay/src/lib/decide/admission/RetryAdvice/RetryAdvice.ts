import type { Milliseconds } from '@apricotrill/utils';
import type { AdmissionOptions } from '../admissionOptions.js';

/** Half-life of the measured rate of begins: follows a burst, and averages over some requests. */
const HALF_LIFE: Milliseconds = 2_000;

/** Begins that are assumed in the last half-life before any was counted. */
const INITIAL_BEGINS = 1;

/** What an advice depends on. */
export interface RetryInputs {
  now: Milliseconds;
  /** Expected time until a request that arrives after all that wait could begin. */
  roomIn: Milliseconds;
  /** Time until the caller gives up. */
  timeLeft: Milliseconds;
}

/**
 * Decides when refused callers should return: when room is expected, one after the other at the rate at
 * which requests begin.
 *
 * Load pattern: callers that are refused in a burst. If all are told the same time, they return as a burst
 * and most are refused again.
 */
export class RetryAdvice {
  /** Begins, with exponential decay. */
  private begins = INITIAL_BEGINS;

  private beginsAt: Milliseconds;

  /** When the next refused caller may return. */
  private nextReturnAt: Milliseconds = 0;

  constructor(
    private readonly options: Pick<AdmissionOptions, 'minRetryAfter' | 'maxRetryShare'>,
    now: Milliseconds,
  ) {
    this.beginsAt = now;
  }

  recordBegin(now: Milliseconds): void {
    this.begins = this.getBegins(now) + 1;
    this.beginsAt = now;
  }

  /** Gets the time after which a caller that is refused now should return, and reserves that time. */
  getRetryAfter({ now, roomIn, timeLeft }: RetryInputs): Milliseconds {
    const { minRetryAfter, maxRetryShare } = this.options;
    const earliest = now + Math.max(minRetryAfter, roomIn);
    const latest = now + Math.max(minRetryAfter, timeLeft * maxRetryShare);
    const returnAt = Math.max(earliest, this.nextReturnAt);
    if (returnAt > latest) {
      return latest - now;
    }
    this.nextReturnAt = returnAt + this.getInterval(now);
    return returnAt - now;
  }

  /** Mean time between two begins. */
  private getInterval(now: Milliseconds): Milliseconds {
    return HALF_LIFE / Math.LN2 / Math.max(INITIAL_BEGINS, this.getBegins(now));
  }

  private getBegins(now: Milliseconds): number {
    return this.begins * 0.5 ** ((now - this.beginsAt) / HALF_LIFE);
  }
}
