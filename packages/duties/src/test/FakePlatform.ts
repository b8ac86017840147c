import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { CallResult } from '../lib/DutyPlatform.js';
import type { LeaseHolder, DutyPlatform, ReplicaOrder, UsageReport } from '../lib/DutyPlatform.js';

/** A report as the platform took it. */
export interface TakenReport extends UsageReport {
  at: Milliseconds;
}

/** What the platform's API does wrong. */
export enum PlatformFault {
  None = 'none',
  /** No answer, and nothing is done. */
  Silent = 'silent',
  Busy = 'busy',
  /** Done, and not answered. */
  Lost = 'lost',
  /** Not answered, and done seconds later. */
  Late = 'late',
}

/** The platform's API for duties, in memory, with everything that it saw. */
export class FakePlatform implements DutyPlatform {
  fault = PlatformFault.None;

  readonly reports: TakenReport[] = [];

  readonly orders: (ReplicaOrder & LeaseHolder)[] = [];

  /** Rules of the platform that were broken. */
  readonly violations: string[] = [];

  private readonly highest = new Map<string, LeaseHolder>();

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  reportUsage(report: UsageReport, authority: LeaseHolder): Promise<CallResult> {
    return this.call('usage', authority, () => {
      const known = this.reports.find(({ window }) => window === report.window);
      if (known === undefined) {
        this.reports.push({ ...report, at: this.clock.now() });
      } else if (JSON.stringify(known.counts) !== JSON.stringify(report.counts)) {
        this.violations.push(`two reports for window ${report.window}`);
      }
    });
  }

  orderReplicas(order: ReplicaOrder, authority: LeaseHolder): Promise<CallResult> {
    return this.call(`${order.service} ${order.availabilityZone}`, authority, () => {
      this.orders.push({ ...order, ...authority });
    });
  }

  private async call(
    subject: string,
    authority: LeaseHolder,
    effect: () => void,
  ): Promise<CallResult> {
    switch (this.fault) {
      case PlatformFault.None:
        return this.carryOut(subject, authority, effect);
      case PlatformFault.Busy:
        return CallResult.Unavailable;
      case PlatformFault.Silent:
        break;
      case PlatformFault.Lost:
        this.carryOut(subject, authority, effect);
        break;
      case PlatformFault.Late:
        this.clock.setTimer(2_000 + this.random.integer(10_000), () =>
          this.carryOut(subject, authority, effect),
        );
        break;
      default:
        this.fault satisfies never;
    }
    await new Promise<void>((resolve) => {
      this.clock.setTimer(1_000, resolve);
    });
    throw new Error('no answer');
  }

  private carryOut(subject: string, authority: LeaseHolder, effect: () => void): CallResult {
    const highest = this.highest.get(subject);
    if (highest !== undefined && authority.fencingNumber < highest.fencingNumber) {
      return CallResult.Conflict;
    }
    if (highest?.fencingNumber === authority.fencingNumber && highest.holder !== authority.holder) {
      this.violations.push(`${authority.fencingNumber} is used by two holders for ${subject}`);
    }
    this.highest.set(subject, authority);
    effect();
    return CallResult.Accepted;
  }
}
