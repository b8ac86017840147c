import type { Milliseconds } from '@apricotrill/utils';
import { defaultScalingOptions } from '../scalingOptions.js';
import type { ServiceDemand } from '../scalingTypes.js';

interface DemandReport {
  demand: readonly ServiceDemand[];
  receivedAt: Milliseconds;
}

/**
 * The recent demand of all daemons, as received by this one.
 *
 * @public
 */
export class DemandMeter {
  private readonly reports = new Map<string, DemandReport>();

  /** @param daemon - the daemon that sent the report */
  record(daemon: string, demand: readonly ServiceDemand[], now: Milliseconds): void {
    this.reports.set(daemon, { demand, receivedAt: now });
  }

  /** Returns the sum over all daemons for one service. */
  getDemand(service: string, now: Milliseconds): ServiceDemand {
    const sum: ServiceDemand = { service, tokensPerSecond: 0, running: 0 };
    this.reports.forEach(({ demand, receivedAt }, daemon) => {
      if (now - receivedAt > defaultScalingOptions.demandExpiry) {
        this.reports.delete(daemon);
        return;
      }
      demand
        .filter((entry) => entry.service === service)
        .forEach(({ tokensPerSecond, running }) => {
          sum.tokensPerSecond += tokensPerSecond;
          sum.running += running;
        });
    });
    return sum;
  }
}
