import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { emitEvent } from '../CoreContext.js';

/** Minimum length of a pause, in probe intervals. */
const MIN_PAUSE_INTERVALS = 2;

/**
 * Detects that this process did not run for a while: it was stopped or swapped out, or its event
 * loop was blocked. When it resumes, the responses to its probes are overdue and all suspicion
 * timers have expired; without this check it would declare healthy peers dead.
 */
export class PauseDetector {
  private lastCheckAt: Milliseconds;

  private lastResumedAt: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: CoreContext) {
    this.lastCheckAt = context.clock.now();
  }

  /** The end of the last pause. Calls started before it prove nothing about peers. */
  get resumedAt(): Milliseconds {
    return this.lastResumedAt;
  }

  /**
   * Must be called at least once per probe interval, and before conclusions are drawn from a timer.
   *
   * @returns whether a pause has just ended
   */
  check(): boolean {
    const { clock, options } = this.context;
    const now = clock.now();
    const pauseDuration = now - this.lastCheckAt;
    this.lastCheckAt = now;
    if (pauseDuration <= MIN_PAUSE_INTERVALS * options.probeInterval) {
      return false;
    }
    this.lastResumedAt = now;
    emitEvent(this.context, { kind: 'pause-noticed', span: pauseDuration });
    return true;
  }
}
