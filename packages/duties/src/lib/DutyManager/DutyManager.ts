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

/** The timing that the platform prescribes for duties. */
export interface DutySettings {
  /** Length of a usage window. */
  windowSpan: Milliseconds;
  /** Time after the end of a window by which its report is due. */
  usageDelay: Milliseconds;
  /** Two lease holders must not act in the order A, B, A within this time. */
  holderCooldown: Milliseconds;
}

export interface DutyManagerSettings {
  /** The id of this daemon. */
  self: string;
  clock: Clock;
  /** Unix milliseconds, corrected by the clocks of the other daemons. */
  getFleetTime: () => Milliseconds;
  /** The machine's wall clock. */
  getTimeOfDay: () => Milliseconds;
  store: LeaseStore;
  platform: DutyPlatform;
  settings: DutySettings;
  /** This daemon's rank among the lease candidates; 0 is preferred. */
  getRank: () => number;
  getServices: () => readonly ScalableService[];
  log: DutyLog;
}

/** Name of the single lease for all duties. */
const LEASE_NAME = 'duties';

/** Status of the duties, shown to operators. */
export interface DutyStatus {
  isHolder: boolean;
  fencingNumber: number | undefined;
  usageReported: number;
  usageMissed: number;
  /** The last order of this daemon for each service, zone and replica type. */
  orders: { service: string; zone: string; sort: string; count: number; reason: string }[];
}

/** A duty that runs in a loop while the lease is held. */
interface Duty {
  /** @returns the time until the next step */
  runStep: () => Promise<Milliseconds>;
}

/**
 * Performs the duties of the whole fleet while this daemon holds their lease.
 *
 * @public
 */
export class DutyManager {
  /** The usage of all daemons, as received by this one. */
  readonly usage = new FleetUsage();

  /** The demand of all daemons, as received by this one. */
  readonly demand = new DemandMeter();

  private readonly options: DutyOptions;

  private readonly lease: LeaseManager;

  private readonly usageDuty: UsageDuty;

  private readonly scalingDuty: ScalingDuty;

  private readonly timers = new Set<Timer>();

  /** Incremented each time the lease is gained; a loop ends when its term is over. */
  private term = 0;

  private lastFencingNumber: number | undefined;

  private lostAt: Milliseconds | undefined;

  private isDisposed = false;

  constructor(private readonly settings: DutyManagerSettings) {
    const { settings: timing } = settings;
    this.options = getDutyOptions(timing.holderCooldown);
    this.lease = new LeaseManager({
      ...settings,
      name: LEASE_NAME,
      options: this.options.lease,
      onFault: (error) => this.logFailure('lease', error),
    });
    const sharedSettings = { ...settings, lease: this.lease, options: this.options };
    this.usageDuty = new UsageDuty({
      ...sharedSettings,
      usage: this.usage,
      windowSpan: timing.windowSpan,
      reportDeadline: timing.usageDelay,
    });
    this.scalingDuty = new ScalingDuty({ ...sharedSettings, demand: this.demand });
    this.lease.onChange((fencingNumber) => this.handleLeaseChange(fencingNumber));
  }

  get status(): DutyStatus {
    const fencingNumber = this.lease.getFencingNumber();
    const { reported, missed } = this.usageDuty.counters;
    return {
      isHolder: fencingNumber !== undefined,
      fencingNumber,
      usageReported: reported,
      usageMissed: missed,
      orders: [...this.scalingDuty.lastOrders.values()].map(
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

  /** Applies a change of this daemon's rank at once. */
  updateRank(): void {
    this.lease.updateRank();
  }

  /** Releases the lease, so that another daemon need not wait for it to expire. */
  async release(): Promise<void> {
    await this.lease.release();
  }

  dispose(): void {
    this.isDisposed = true;
    this.lease.dispose();
    this.timers.forEach((timer) => timer.cancel());
    this.timers.clear();
  }

  private handleLeaseChange(fencingNumber: number | undefined): void {
    const { clock, log } = this.settings;
    if (fencingNumber === undefined) {
      log({ event: 'lease-lost', lease: LEASE_NAME, fencingNumber: this.lastFencingNumber ?? 0 });
      this.lastFencingNumber = undefined;
      this.lostAt = clock.now();
      return;
    }
    log({ event: 'lease-gained', lease: LEASE_NAME, fencingNumber });
    this.lastFencingNumber = fencingNumber;
    this.term += 1;
    this.usageDuty.reset();
    if (
      this.lostAt !== undefined &&
      clock.now() - this.lostAt > this.options.lease.releaseCooldown
    ) {
      this.scalingDuty.reset();
    }
    this.startLoop(this.term, this.usageDuty);
    this.startLoop(this.term, this.scalingDuty);
  }

  private startLoop(term: number, duty: Duty): void {
    this.runLoop(term, duty).catch((error: unknown) => this.logFailure('run', error));
  }

  private async runLoop(term: number, duty: Duty): Promise<void> {
    const { retryDelay, maxRetryDelay } = this.options;
    let delay = retryDelay;
    while (!this.isDisposed && term === this.term) {
      try {
        if (!this.lease.isHeld()) {
          return;
        }
        // eslint-disable-next-line no-await-in-loop
        const wait = await duty.runStep();
        delay = retryDelay;
        if (wait > 0) {
          // eslint-disable-next-line no-await-in-loop
          await this.sleep(wait);
        }
      } catch (error) {
        this.logFailure('call', error);
        // eslint-disable-next-line no-await-in-loop
        await this.sleep(delay);
        delay = Math.min(maxRetryDelay, delay * 2);
      }
    }
  }

  private logFailure(call: string, error: unknown): void {
    const fencingNumber = this.lastFencingNumber ?? 0;
    this.settings.log({ event: 'duty-failed', call, result: String(error), fencingNumber });
  }

  private sleep(duration: Milliseconds): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.settings.clock.setTimer(duration, () => {
        this.timers.delete(timer);
        resolve();
      });
      this.timers.add(timer);
    });
  }
}
