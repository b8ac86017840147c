import type { Milliseconds } from '@apricotrill/utils';
import type { LoadReport } from '../messages.js';

interface LoadChange {
  at: Milliseconds;
  change: number;
}

/** Changes kept since a report; beyond it the oldest are counted without their time. */
const MAX_CHANGES = 1024;

/**
 * What a replica probably runs now. Its report lags: a busy replica looks idle for as long as the
 * report is old, and whoever believes it sends everything there. So the report is corrected by
 * what this daemon sent and finished since it was measured, and, because the other daemons saw
 * the same report, by the assumption that each of them did in part the same.
 *
 * @internal
 */
export class CorrectedLoad {
  private reported: { load: number; measuredAt: Milliseconds } | undefined;

  private changes: LoadChange[] = [];

  /** The sum of the changes since the report was measured. */
  private since = 0;

  private running = 0;

  /** How many requests this daemon has running there. */
  get own(): number {
    return this.running;
  }

  /** Notes that this daemon sent a request (1) or that one ended (-1). */
  note(now: Milliseconds, change: 1 | -1): void {
    this.running += change;
    if (this.reported !== undefined) {
      this.since += change;
      this.changes.push({ at: now, change });
      if (this.changes.length > MAX_CHANGES) {
        this.changes.shift();
      }
    }
  }

  /**
   * Takes a report; one older than the last is dropped, and one from the future (the clocks of
   * two machines differ) counts as measured now.
   *
   * @returns whether it was taken
   */
  apply(report: LoadReport, now: Milliseconds): boolean {
    const measuredAt = Math.min(now, report.measuredAt);
    if (this.reported !== undefined && measuredAt < this.reported.measuredAt) {
      return false;
    }
    this.reported = { load: report.running + report.waiting, measuredAt };
    this.changes = this.changes.filter(({ at }) => at > measuredAt);
    this.since = this.changes.reduce((sum, { change }) => sum + change, 0);
    return true;
  }

  /** Whether there is a report that still says something. */
  isReported(now: Milliseconds, maxAge: Milliseconds): boolean {
    return this.reported !== undefined && now - this.reported.measuredAt <= maxAge;
  }

  /**
   * The load as it probably is.
   *
   * @param others - how many other daemons send there, times how far they act alike (0 to 1)
   * @param maxAge - reports older than this say nothing
   */
  get(now: Milliseconds, others: number, maxAge: Milliseconds): number {
    if (!this.isReported(now, maxAge)) {
      return this.running * (1 + others);
    }
    const alike = Math.max(0, this.since) * others;
    return Math.max(this.running, this.reported!.load + this.since + alike);
  }
}
