import { LeaseManager } from '@apricotrill/lease';
import type { LeaseStore } from '@apricotrill/lease';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { DutyPlatform } from '../DutyPlatform.js';
import type { DutyLog } from '../DutyEvent.js';
import { getDutyOptions } from '../dutyOptions.js';
import type { DutyOptions } from '../dutyOptions.js';
import { DemandMeter } from '../scaling/DemandMeter/DemandMeter.js';
import { ScalingDuty } from '../scaling/ScalingDuty/ScalingDuty.js';
import type { ScalableService } from '../scaling/ScalingDuty/ScalingDuty.js';
import { FleetUsage } from '../usage/FleetUsage/FleetUsage.js';
import { UsageDuty } from '../usage/UsageDuty/UsageDuty.js';

/** What the platform states of duties. */
export interface DutySettings {
  /** Length of a window of usage. */
  windowSpan: Milliseconds;
  /** How long after a window's end its report is due. */
  usageDelay: Milliseconds;
  /** Holders must not act in the order A, B, A within this time. */
  holderRest: Milliseconds;
}

/** What the manager is made of. */
export interface DutyManagerParts {
  /** This daemon's name. */
  self: string;
  clock: Clock;
  /** Unix milliseconds, put right by the clocks of the other daemons. */
  getFleetTime: () => Milliseconds;
  /** The machine's time of day. */
  getTimeOfDay: () => Milliseconds;
  store: LeaseStore;
  platform: DutyPlatform;
  settings: DutySettings;
  /** This daemon's place among those that stand by, 0 the preferred. */
  getRank: () => number;
  getServices: () => readonly ScalableService[];
  log: DutyLog;
}

/** The name of the one lease for all duties. */
const LEASE = 'duties';

/** What operators are shown. */
export interface DutyStatus {
  isHolder: boolean;
  fencingNumber: number | undefined;
  usageReported: number;
  usageMissed: number;
  /** The last order for each sort of replicas, if this daemon gave any. */
  orders: { service: string; zone: string; sort: string; count: number; reason: string }[];
}

/** One of the duties, as the loop sees it. */
interface Duty {
  work: () => Promise<Milliseconds>;
}

/**
 * Carries out the duties of the whole fleet while this daemon holds their lease.
 *
 * @public
 */
export class DutyManager {
  /** What this daemon was told of all daemons' usage and demand. */
  readonly usage = new FleetUsage();

  readonly demand = new DemandMeter();

  private readonly options: DutyOptions;

  private readonly lease: LeaseManager;

  private readonly reporting: UsageDuty;

  private readonly scaling: ScalingDuty;

  private readonly timers = new Set<Timer>();

  /** Counts the times that the lease was gained: a loop ends with its term. */
  private term = 0;

  private lastNumber: number | undefined;

  private lostAt: Milliseconds | undefined;

  private isDisposed = false;

  constructor(private readonly parts: DutyManagerParts) {
    const { settings } = parts;
    this.options = getDutyOptions(settings.holderRest);
    this.lease = new LeaseManager({
      ...parts,
      name: LEASE,
      options: this.options.lease,
    });
    const shared = { ...parts, lease: this.lease, options: this.options };
    this.reporting = new UsageDuty({
      ...shared,
      usage: this.usage,
      windowSpan: settings.windowSpan,
      delay: settings.usageDelay,
    });
    this.scaling = new ScalingDuty({ ...shared, demand: this.demand });
    this.lease.onChange((fencingNumber) => this.noteLease(fencingNumber));
  }

  get status(): DutyStatus {
    const fencingNumber = this.lease.getFencingNumber();
    const { reported, missed } = this.reporting.counters;
    return {
      isHolder: fencingNumber !== undefined,
      fencingNumber,
      usageReported: reported,
      usageMissed: missed,
      orders: [...this.scaling.lastOrders.values()].map(
        ({ service, availabilityZone, count, isPreemptible, reason }) => ({
          service,
          zone: availabilityZone,
          sort: isPreemptible ? 'preemptible' : 'on-demand',
          count,
          reason,
        }),
      ),
    };
  }

  /** Gives the lease up, so that another daemon need not wait for it to run out. */
  async release(): Promise<void> {
    await this.lease.release();
  }

  dispose(): void {
    this.isDisposed = true;
    this.lease.dispose();
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }

  private noteLease(fencingNumber: number | undefined): void {
    const { clock, log } = this.parts;
    if (fencingNumber === undefined) {
      log({ event: 'lease-lost', lease: LEASE, fencingNumber: this.lastNumber ?? 0 });
      this.lastNumber = undefined;
      this.lostAt = clock.now();
      return;
    }
    log({ event: 'lease-gained', lease: LEASE, fencingNumber });
    this.lastNumber = fencingNumber;
    this.term += 1;
    this.reporting.reset();
    if (this.lostAt !== undefined && clock.now() - this.lostAt > this.options.lease.rest) {
      this.scaling.reset();
    }
    this.runWhileHeld(this.term, this.reporting);
    this.runWhileHeld(this.term, this.scaling);
  }

  private runWhileHeld(term: number, duty: Duty): void {
    this.run(term, duty).catch((error: unknown) => {
      const { log } = this.parts;
      log({ event: 'duty-failed', call: 'run', result: String(error), fencingNumber: 0 });
    });
  }

  private async run(term: number, duty: Duty): Promise<void> {
    const { retry, longestRetry } = this.options;
    let pause = retry;
    while (!this.isDisposed && term === this.term && this.lease.isHeld()) {
      try {
        // eslint-disable-next-line no-await-in-loop
        const wait = await duty.work();
        pause = retry;
        if (wait > 0) {
          // eslint-disable-next-line no-await-in-loop
          await this.sleep(wait);
        }
      } catch (error) {
        const fencingNumber = this.lastNumber ?? 0;
        const result = String(error);
        this.parts.log({ event: 'duty-failed', call: 'call', result, fencingNumber });
        // eslint-disable-next-line no-await-in-loop
        await this.sleep(pause);
        pause = Math.min(longestRetry, pause * 2);
      }
    }
  }

  private sleep(span: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.parts.clock.setTimer(span, () => {
        this.timers.delete(timer);
        resolve();
      });
      this.timers.add(timer);
    });
  }
}
