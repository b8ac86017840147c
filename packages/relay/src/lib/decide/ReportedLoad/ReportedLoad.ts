import type { Milliseconds } from '@apricotrill/utils';
import type { LoadReport } from '../messages.js';

/** A load report and the number of requests known to be in flight when it was received. */
export interface ReceivedReport {
  report: LoadReport;
  receivedAt: Milliseconds;
  knownInFlight: number;
}

/** The load that a replica last reported, which counts less as the report ages. */
export class ReportedLoad {
  private received: ReceivedReport | undefined;

  /** @param halfLife - the age at which a report counts for half */
  constructor(private readonly halfLife: Milliseconds) {}

  get last(): ReceivedReport | undefined {
    return this.received;
  }

  record(report: LoadReport, receivedAt: Milliseconds, knownInFlight: number): void {
    this.received = { report, receivedAt, knownInFlight };
  }

  /** Requests in flight that no daemon has announced. */
  getUnannounced(now: Milliseconds): number {
    return this.getDecayed(
      now,
      ({ report, knownInFlight }) => report.running + report.waiting - knownInFlight,
    );
  }

  /** Requests of all daemons that wait for a slot. */
  getWaiting(now: Milliseconds): number {
    return this.getDecayed(now, ({ report }) => report.waiting);
  }

  private getDecayed(now: Milliseconds, get: (report: ReceivedReport) => number): number {
    if (this.received === undefined) {
      return 0;
    }
    const age = now - this.received.receivedAt;
    return Math.max(0, get(this.received)) * 0.5 ** (age / this.halfLife);
  }
}
