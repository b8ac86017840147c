import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { addJitter } from '../CoreContext.js';
import type { Rumour, ServiceLoad, ZoneLoadReport } from '../messages.js';

/**
 * In a large zone each daemon sends less often: its reporter gets about ten messages per second.
 */
const INTERVAL_PER_DAEMON: Milliseconds = 100;

/** Loads and reports that were not renewed for this many intervals are dropped. */
const RETENTION_INTERVALS = 4;

/**
 * The load of an availability zone, as summed up by its reporter.
 *
 * @public
 */
export interface ZoneLoad {
  availabilityZone: string;
  /** How many daemons' loads are in the sum. */
  daemons: number;
  services: readonly ServiceLoad[];
  /** When this daemon received it, by its own clock. */
  receivedAt: Milliseconds;
}

interface Timestamped<Value> {
  value: Value;
  at: Milliseconds;
}

interface LoadDigestsSettings {
  context: CoreContext;
  availabilityZone: string;
  announce: (rumour: Rumour) => void;
  /** Number of daemons in this daemon's zone. */
  getZoneSize: () => number;
  /** The reporter of this daemon's zone; undefined if it is this daemon. */
  getReporter: () => string | undefined;
  /** Sends this daemon's load to the reporter. */
  sendLoad: (reporter: string, services: readonly ServiceLoad[]) => void;
}

function sumLoads(loads: readonly (readonly ServiceLoad[])[]): ServiceLoad[] {
  const sums = new Map<string, ServiceLoad>();
  loads.flat().forEach(({ service, running, waiting, refused }) => {
    const sum = sums.get(service) ?? { service, running: 0, waiting: 0, refused: 0 };
    sums.set(service, {
      service,
      running: sum.running + running,
      waiting: sum.waiting + waiting,
      refused: sum.refused + refused,
    });
  });
  return [...sums.values()];
}

/**
 * Keeps the load of each availability zone. Every daemon sends its own load to the reporter of its
 * zone, which gossips the sum: the loads of 1,800 daemons would exceed the bandwidth budget.
 */
export class LoadDigests {
  private ownLoad: readonly ServiceLoad[] = [];

  private readonly daemonLoads = new Map<string, Timestamped<readonly ServiceLoad[]>>();

  private readonly reports = new Map<string, Timestamped<ZoneLoadReport>>();

  private timer: Timer | undefined;

  constructor(private readonly settings: LoadDigestsSettings) {}

  /** Sets this daemon's own load, which is sent with the next message. */
  publish(services: readonly ServiceLoad[]): void {
    this.ownLoad = services;
    this.scheduleReport();
  }

  /** Handles the load of a daemon of the zone, as the zone's reporter. */
  handleLoad(from: string, services: readonly ServiceLoad[]): void {
    this.daemonLoads.set(from, { value: services, at: this.settings.context.clock.now() });
    this.scheduleReport();
  }

  /** Handles the load report of a zone. */
  handleReport(report: ZoneLoadReport): void {
    const knownVersion = this.reports.get(report.availabilityZone)?.value.version ?? 0;
    if (report.version > knownVersion) {
      this.acceptReport(report);
    }
  }

  /** The latest load of each zone, without those that are no longer renewed. */
  getZoneLoads(): ZoneLoad[] {
    const oldest = this.settings.context.clock.now() - this.getRetention();
    return [...this.reports.values()]
      .filter(({ at }) => at >= oldest)
      .map(({ value: { availabilityZone, daemons, services }, at }) => ({
        availabilityZone,
        daemons,
        services,
        receivedAt: at,
      }));
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private scheduleReport(): void {
    const { context } = this.settings;
    if (this.timer === undefined) {
      this.timer = context.clock.setTimer(addJitter(context, this.getInterval()), () =>
        this.reportLoad(),
      );
    }
  }

  private reportLoad(): void {
    this.timer = undefined;
    const reporter = this.settings.getReporter();
    if (reporter === undefined) {
      this.announceZoneLoad();
    } else {
      this.daemonLoads.clear();
      this.settings.sendLoad(reporter, this.ownLoad);
    }
    this.scheduleReport();
  }

  private announceZoneLoad(): void {
    const { availabilityZone, context } = this.settings;
    const oldest = context.clock.now() - this.getRetention();
    this.daemonLoads.forEach(({ at }, from) => {
      if (at < oldest) {
        this.daemonLoads.delete(from);
      }
    });
    const loads = [this.ownLoad, ...[...this.daemonLoads.values()].map(({ value }) => value)];
    const version = (this.reports.get(availabilityZone)?.value.version ?? 0) + 1;
    this.acceptReport({
      availabilityZone,
      version,
      daemons: loads.length,
      services: sumLoads(loads),
    });
  }

  private acceptReport(report: ZoneLoadReport): void {
    const at = this.settings.context.clock.now();
    this.reports.set(report.availabilityZone, { value: report, at });
    this.settings.announce({ kind: 'zone-load', report });
  }

  private getInterval(): Milliseconds {
    const { context, getZoneSize } = this.settings;
    return Math.max(context.options.minLoadInterval, getZoneSize() * INTERVAL_PER_DAEMON);
  }

  private getRetention(): Milliseconds {
    return RETENTION_INTERVALS * this.getInterval();
  }
}
