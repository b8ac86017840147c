import type { Milliseconds } from '@apricotrill/utils';
import { scalingOptions } from '../scalingOptions.js';
import type { ServiceDemand } from '../scalingTypes.js';

interface DemandReport {
  demand: readonly ServiceDemand[];
  heardAt: Milliseconds;
}

/**
 * The demand of all daemons, as far as this one was told lately.
 *
 * @public
 */
export class DemandMeter {
  private readonly reports = new Map<string, DemandReport>();

  /** @param daemon - who told it */
  record(daemon: string, demand: readonly ServiceDemand[], now: Milliseconds): void {
    this.reports.set(daemon, { demand, heardAt: now });
  }

  /** The sum over all daemons for one service. */
  getDemand(service: string, now: Milliseconds): ServiceDemand {
    const sum: ServiceDemand = { service, tokensPerSecond: 0, running: 0 };
    this.reports.forEach(({ demand, heardAt }, daemon) => {
      if (now - heardAt > scalingOptions.demandExpiry) {
        this.reports.delete(daemon);
        return;
      }
      demand
        .filter((one) => one.service === service)
        .forEach(({ tokensPerSecond, running }) => {
          sum.tokensPerSecond += tokensPerSecond;
          sum.running += running;
        });
    });
    return sum;
  }
}
