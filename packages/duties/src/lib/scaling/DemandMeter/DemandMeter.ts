import type { Milliseconds } from '@apricotrill/utils';
import { scalingOptions } from '../scalingOptions.js';
import type { ServiceDemand } from '../scalingTypes.js';

interface Word {
  demand: readonly ServiceDemand[];
  heardAt: Milliseconds;
}

/**
 * The demand of all daemons, as far as this one was told lately.
 *
 * @public
 */
export class DemandMeter {
  private readonly words = new Map<string, Word>();

  /** @param daemon - who told it */
  hear(daemon: string, demand: readonly ServiceDemand[], now: Milliseconds): void {
    this.words.set(daemon, { demand, heardAt: now });
  }

  /** The sum over all daemons for one service. */
  getDemand(service: string, now: Milliseconds): ServiceDemand {
    const sum: ServiceDemand = { service, tokensPerSecond: 0, running: 0 };
    this.words.forEach(({ demand, heardAt }, daemon) => {
      if (now - heardAt > scalingOptions.demandExpiry) {
        this.words.delete(daemon);
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
