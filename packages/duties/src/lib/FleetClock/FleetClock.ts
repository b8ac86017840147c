import type { Milliseconds } from '@apricotrill/utils';

/** Smaller differences from the median clock are not corrected. */
const TOLERANCE: Milliseconds = 150;

/** Readings of other daemons' clocks expire after this time. */
const EXPIRY: Milliseconds = 15_000;

interface Reading {
  offset: Milliseconds;
  receivedAt: Milliseconds;
}

/**
 * Corrects this daemon's clock by the median of all daemons' clocks. A machine's clock may be wrong
 * when its daemon starts, and it stands still while the machine is suspended. The median is right
 * as long as most clocks are.
 *
 * @public
 */
export class FleetClock {
  private readonly readings = new Map<string, Reading>();

  /**
   * Records a reading of another daemon's clock.
   *
   * @param remoteTime - Unix milliseconds on its clock when it sent the message
   * @param now - Unix milliseconds on this daemon's own clock
   */
  record(daemon: string, remoteTime: Milliseconds, now: Milliseconds): void {
    this.readings.set(daemon, { offset: remoteTime - now, receivedAt: now });
  }

  /** Converts a time of this daemon's own clock to the corrected time. */
  correct(now: Milliseconds): Milliseconds {
    return now + this.getOffset(now);
  }

  private getOffset(now: Milliseconds): Milliseconds {
    this.readings.forEach(({ receivedAt }, daemon) => {
      if (now - receivedAt > EXPIRY) {
        this.readings.delete(daemon);
      }
    });
    // This daemon's own clock counts as one reading.
    const offsets = [0, ...[...this.readings.values()].map(({ offset }) => offset)];
    offsets.sort((left, right) => left - right);
    const median = offsets[Math.floor((offsets.length - 1) / 2)]!;
    return Math.abs(median) > TOLERANCE ? median : 0;
  }
}
