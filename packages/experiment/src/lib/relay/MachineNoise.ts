import { createRandom } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';

/** Spells in which others use the machine of a replica, so that work takes longer. */
export interface NoiseParameters {
  /** Share of the time that the spells take. */
  share: number;
  /** By how much work takes longer in a spell. */
  factor: number;
  /** Mean time from the beginning of a spell to that of the next. */
  period: Milliseconds;
}

/** The spells of one machine. */
export class MachineNoise {
  private readonly random: Random;

  private startsAt: Milliseconds;

  constructor(
    private readonly parameters: NoiseParameters,
    seed: number,
  ) {
    this.random = createRandom(seed);
    // Similar seeds give similar first numbers, so the first one is discarded.
    this.random.next();
    this.startsAt = parameters.period * this.random.next();
  }

  /** How long work takes, relative to the usual time. Times must not decrease from call to call. */
  getSlowdown(at: Milliseconds): number {
    const { share, factor, period } = this.parameters;
    const length = share * period;
    while (at >= this.startsAt + length) {
      this.startsAt += length - (period - length) * Math.log(1 - this.random.next());
    }
    return at >= this.startsAt ? factor : 1;
  }
}
