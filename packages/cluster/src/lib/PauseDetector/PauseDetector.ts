import type { Milliseconds } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { decide } from '../CoreContext.js';

/** A pause this many probe intervals long counts. */
const NOTICED_INTERVALS = 2;

/**
 * Notices that this process did not run for a while: stopped, swapped out, or its event loop
 * blocked. When it goes on, the answers to its probes are long overdue and every timer of a
 * suspicion has run out at once; without this check it would declare its healthy peers dead.
 */
export class PauseDetector {
  private lastSeen: Milliseconds;

  private resumed: Milliseconds = Number.NEGATIVE_INFINITY;

  constructor(private readonly context: CoreContext) {
    this.lastSeen = context.clock.now();
  }

  /** The end of the last pause. What was begun before it proves nothing about peers. */
  get resumedAt(): Milliseconds {
    return this.resumed;
  }

  /**
   * To be called at least once a probe interval, and before anything is concluded from a timer.
   *
   * @returns whether a pause has just ended
   */
  check(): boolean {
    const { clock, options } = this.context;
    const now = clock.now();
    const span = now - this.lastSeen;
    this.lastSeen = now;
    if (span <= NOTICED_INTERVALS * options.probeInterval) {
      return false;
    }
    this.resumed = now;
    decide(this.context, { kind: 'pause-noticed', span });
    return true;
  }
}
