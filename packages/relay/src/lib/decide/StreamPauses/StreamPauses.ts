import type { Milliseconds } from '@apricotrill/utils';
import { getHarmProbability, getPauseSlack } from '../pauses.js';
import type { EngineSpeed } from '../pauses.js';
import type { RunningAttempt } from '../RequestRecord.js';

/** Judges which streams of an engine miss their pause target because of the engine's prefill. */
export class StreamPauses {
  /** @param running - the attempts in flight at the engine */
  constructor(private readonly running: ReadonlySet<RunningAttempt>) {}

  /**
   * Expected number of streams that would miss their pause target because of uninterrupted prefill of
   * this duration.
   */
  getHarmed(prefillTime: Milliseconds, speed: EngineSpeed): number {
    let harmed = 0;
    this.running.forEach(({ hasMissedPauseTarget, pauseTarget }) => {
      const slack = hasMissedPauseTarget ? undefined : getPauseSlack(pauseTarget, speed);
      harmed += slack === undefined ? 0 : getHarmProbability(prefillTime, slack);
    });
    return harmed;
  }

  /**
   * Marks streams that miss their pause target because of the current backlog, since additional
   * prefill does them no further harm.
   */
  markMissed(prefillTime: Milliseconds, speed: EngineSpeed): void {
    this.running.forEach((attempt) => {
      const { isResponding, pauseTarget } = attempt;
      const slack = isResponding ? getPauseSlack(pauseTarget, speed) : undefined;
      if (slack !== undefined && prefillTime >= slack) {
        Object.assign(attempt, { hasMissedPauseTarget: true });
      }
    });
  }
}
