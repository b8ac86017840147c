import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { CallResult } from '../lib/DutyPlatform.js';
import type { LeaseHolder, DutyPlatform, ReplicaOrder, UsageReport } from '../lib/DutyPlatform.js';

/** A report as the platform received it. */
export interface ReceivedReport extends UsageReport {
  at: Milliseconds;
}

/** How the platform's API fails. */
export enum PlatformFault {
  None = 'none',
  /** The call is neither executed nor answered. */
  NoResponse = 'silent',
  Busy = 'busy',
  /** The call is executed, but the response is lost. */
  ResponseLost = 'lost',
  /** The call is not answered, and is executed some seconds later. */
  Delayed = 'late',
}

/** An in-memory version of the platform's API for duties that records every call. */
export class FakePlatform implements DutyPlatform {
  fault = PlatformFault.None;

  readonly reports: ReceivedReport[] = [];

  readonly orders: (ReplicaOrder & LeaseHolder)[] = [];

  /** Violations of the platform's rules. */
  readonly violations: string[] = [];

  private readonly latestHolders = new Map<string, LeaseHolder>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  reportUsage(report: UsageReport, leaseHolder: LeaseHolder): Promise<CallResult> {
    return this.call('usage', leaseHolder, () => {
      const known = this.reports.find(({ window }) => window === report.window);
      if (known === undefined) {
        this.reports.push({ ...report, at: this.clock.now() });
      } else if (JSON.stringify(known.counts) !== JSON.stringify(report.counts)) {
        this.violations.push(`two reports for window ${report.window}`);
      }
    });
  }

  orderReplicas(order: ReplicaOrder, leaseHolder: LeaseHolder): Promise<CallResult> {
    return this.call(`${order.service} ${order.availabilityZone}`, leaseHolder, () => {
      this.orders.push({ ...order, ...leaseHolder });
    });
  }

  private async call(
    subject: string,
    leaseHolder: LeaseHolder,
    action: () => void,
  ): Promise<CallResult> {
    switch (this.fault) {
      case PlatformFault.None:
        return this.execute(subject, leaseHolder, action);
      case PlatformFault.Busy:
        return CallResult.Unavailable;
      case PlatformFault.NoResponse:
        break;
      case PlatformFault.ResponseLost:
        this.execute(subject, leaseHolder, action);
        break;
      case PlatformFault.Delayed:
        this.clock.setTimer(2_000 + this.random.integer(10_000), () =>
          this.execute(subject, leaseHolder, action),
        );
        break;
      default:
        this.fault satisfies never;
    }
    await new Promise<void>((resolve) => {
      this.clock.setTimer(1_000, resolve);
    });
    throw new Error('no response');
  }

  private execute(subject: string, leaseHolder: LeaseHolder, action: () => void): CallResult {
    const latest = this.latestHolders.get(subject);
    if (latest !== undefined && leaseHolder.fencingNumber < latest.fencingNumber) {
      return CallResult.Conflict;
    }
    if (
      latest?.fencingNumber === leaseHolder.fencingNumber &&
      latest.holder !== leaseHolder.holder
    ) {
      this.violations.push(`${leaseHolder.fencingNumber} is used by two holders for ${subject}`);
    }
    this.latestHolders.set(subject, leaseHolder);
    action();
    return CallResult.Accepted;
  }
}
