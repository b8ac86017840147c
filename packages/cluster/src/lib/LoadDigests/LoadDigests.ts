import type { Milliseconds, Timer } from '@apricotrill/utils';
import type { CoreContext } from '../CoreContext.js';
import { jitter } from '../CoreContext.js';
import type { Rumour, ServiceLoad, ZoneLoadReport } from '../messages.js';

/** A zone of more daemons sends less often, so that its reporter takes about ten messages a second. */
const INTERVAL_PER_DAEMON: Milliseconds = 100;

/** Loads and reports that were not renewed for so many intervals are dropped. */
const KEPT_INTERVALS = 4;

/**
 * The load of an availability zone, as its reporter summed it.
 *
 * @public
 */
export interface ZoneLoad {
  availabilityZone: string;
  /** How many daemons' loads are in the sum. */
  daemons: number;
  services: readonly ServiceLoad[];
  /** When the sum came here, by this daemon's clock. */
  heardAt: Milliseconds;
}

interface Dated<Value> {
  value: Value;
  at: Milliseconds;
}

interface LoadDigestParts {
  context: CoreContext;
  availabilityZone: string;
  tell: (rumour: Rumour) => void;
  /** How many daemons the own zone has. */
  getZoneSize: () => number;
  /** The daemon that sums up the own zone; undefined when it is this one. */
  getReporter: () => string | undefined;
  /** Sends this daemon's load to the reporter. */
  send: (reporter: string, services: readonly ServiceLoad[]) => void;
}

function addUp(loads: readonly (readonly ServiceLoad[])[]): ServiceLoad[] {
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
 * How loaded each availability zone is. Every daemon sends its own load to one daemon of its zone,
 * which sums them up and tells everybody the sum: 1,800 single loads would not fit the budget.
 */
export class LoadDigests {
  private own: readonly ServiceLoad[] = [];

  private readonly zoneLoads = new Map<string, Dated<readonly ServiceLoad[]>>();

  private readonly reports = new Map<string, Dated<ZoneLoadReport>>();

  private timer: Timer | undefined;

  constructor(private readonly parts: LoadDigestParts) {}

  /** Takes this daemon's load; the next message carries it. */
  publish(services: readonly ServiceLoad[]): void {
    this.own = services;
    this.arm();
  }

  /** Takes the load of a daemon of the zone, as its reporter. */
  hearLoad(from: string, services: readonly ServiceLoad[]): void {
    this.zoneLoads.set(from, { value: services, at: this.parts.context.clock.now() });
    this.arm();
  }

  /** Takes the sum of a zone. */
  hearReport(report: ZoneLoadReport): void {
    const known = this.reports.get(report.availabilityZone)?.value.version ?? 0;
    if (report.version > known) {
      this.set(report);
    }
  }

  /** The newest sums, without those that are no longer renewed. */
  getLoads(): ZoneLoad[] {
    const oldest = this.parts.context.clock.now() - this.getKeptSpan();
    return [...this.reports.values()]
      .filter(({ at }) => at >= oldest)
      .map(({ value: { availabilityZone, daemons, services }, at }) => ({
        availabilityZone,
        daemons,
        services,
        heardAt: at,
      }));
  }

  dispose(): void {
    this.timer?.cancel();
  }

  private arm(): void {
    const { context } = this.parts;
    if (this.timer === undefined) {
      this.timer = context.clock.setTimer(jitter(context, this.getInterval()), () => this.round());
    }
  }

  private round(): void {
    this.timer = undefined;
    const reporter = this.parts.getReporter();
    if (reporter === undefined) {
      this.report();
    } else {
      this.zoneLoads.clear();
      this.parts.send(reporter, this.own);
    }
    this.arm();
  }

  private report(): void {
    const { availabilityZone, context } = this.parts;
    const oldest = context.clock.now() - this.getKeptSpan();
    this.zoneLoads.forEach(({ at }, from) => {
      if (at < oldest) {
        this.zoneLoads.delete(from);
      }
    });
    const loads = [this.own, ...[...this.zoneLoads.values()].map(({ value }) => value)];
    const version = (this.reports.get(availabilityZone)?.value.version ?? 0) + 1;
    this.set({ availabilityZone, version, daemons: loads.length, services: addUp(loads) });
  }

  private set(report: ZoneLoadReport): void {
    const at = this.parts.context.clock.now();
    this.reports.set(report.availabilityZone, { value: report, at });
    this.parts.tell({ kind: 'zone-load', report });
  }

  private getInterval(): Milliseconds {
    const { context, getZoneSize } = this.parts;
    return Math.max(context.options.loadInterval, getZoneSize() * INTERVAL_PER_DAEMON);
  }

  private getKeptSpan(): Milliseconds {
    return KEPT_INTERVALS * this.getInterval();
  }
}
