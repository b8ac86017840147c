import type { Milliseconds } from '@apricotrill/utils';
import type { LoadReport } from '../messages.js';

interface LoadChange {
  at: Milliseconds;
  change: number;
}

/** Maximum number of changes kept with their time; older ones are only part of the sum. */
const MAX_TRACKED_CHANGES = 1024;

/**
 * Estimates the current load of a replica. Load reports lag: a busy replica looks idle until its
 * next report, and a daemon that trusts the old one sends all requests there. The estimate
 * therefore adjusts the report by the requests that this daemon sent and finished since it was
 * measured. The other daemons see the same report, so each of them is assumed to have made part of
 * the same change.
 *
 * @internal
 */
export class LoadEstimate {
  private lastReport: { load: number; measuredAt: Milliseconds } | undefined;

  private changesSinceReport: LoadChange[] = [];

  /** Net change in this daemon's requests since the report was measured. */
  private netChange = 0;

  private ownRunningCount = 0;

  /** The number of requests of this daemon that run at the replica. */
  get ownRunning(): number {
    return this.ownRunningCount;
  }

  /** Records that this daemon sent a request (1) or that one of its requests ended (-1). */
  recordChange(now: Milliseconds, change: 1 | -1): void {
    this.ownRunningCount += change;
    if (this.lastReport !== undefined) {
      this.netChange += change;
      this.changesSinceReport.push({ at: now, change });
      if (this.changesSinceReport.length > MAX_TRACKED_CHANGES) {
        this.changesSinceReport.shift();
      }
    }
  }

  /**
   * Applies a load report. A report older than the last one is dropped. A report from the future,
   * which occurs because the clocks of two machines differ, counts as measured now.
   *
   * @returns whether the report was applied
   */
  applyReport(report: LoadReport, now: Milliseconds): boolean {
    const measuredAt = Math.min(now, report.measuredAt);
    if (this.lastReport !== undefined && measuredAt < this.lastReport.measuredAt) {
      return false;
    }
    this.lastReport = { load: report.running + report.waiting, measuredAt };
    this.changesSinceReport = this.changesSinceReport.filter(({ at }) => at > measuredAt);
    this.netChange = this.changesSinceReport.reduce((sum, { change }) => sum + change, 0);
    return true;
  }

  /** Whether there is a report that is not older than `maxAge`. */
  hasFreshReport(now: Milliseconds, maxAge: Milliseconds): boolean {
    return this.lastReport !== undefined && now - this.lastReport.measuredAt <= maxAge;
  }

  /**
   * The estimated current load.
   *
   * @param correlatedPeers - the number of other daemons that send to the replica, times the degree
   *   (0 to 1) to which they are assumed to act as this daemon does
   * @param maxAge - reports older than this are ignored
   */
  getEstimate(now: Milliseconds, correlatedPeers: number, maxAge: Milliseconds): number {
    if (!this.hasFreshReport(now, maxAge)) {
      return this.ownRunningCount * (1 + correlatedPeers);
    }
    const peerChange = Math.max(0, this.netChange) * correlatedPeers;
    return Math.max(this.ownRunningCount, this.lastReport!.load + this.netChange + peerChange);
  }
}
