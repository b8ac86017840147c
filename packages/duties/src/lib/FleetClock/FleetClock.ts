import type { Milliseconds } from '@apricotrill/utils';

/** A clock that differs from most others by less is left as it is. */
const TOLERANCE: Milliseconds = 150;

/** What another daemon's clock said is forgotten after this long. */
const EXPIRY: Milliseconds = 15_000;

interface Reading {
  offset: Milliseconds;
  heardAt: Milliseconds;
}

/**
 * True time from the clocks of all daemons: the clock of a machine may have been off when its daemon
 * started, and a suspended machine's stands still. Most clocks are right, so the median is.
 *
 * @public
 */
export class FleetClock {
  private readonly readings = new Map<string, Reading>();

  /**
   * Takes in what another daemon's clock said.
   *
   * @param said - Unix milliseconds by its clock when it sent the message
   * @param now - Unix milliseconds by this daemon's own clock
   */
  record(daemon: string, said: Milliseconds, now: Milliseconds): void {
    this.readings.set(daemon, { offset: said - now, heardAt: now });
  }

  /** True time, for a time by this daemon's own clock. */
  correct(now: Milliseconds): Milliseconds {
    return now + this.getOffset(now);
  }

  private getOffset(now: Milliseconds): Milliseconds {
    this.readings.forEach(({ heardAt }, daemon) => {
      if (now - heardAt > EXPIRY) {
        this.readings.delete(daemon);
      }
    });
    // This daemon's own clock counts as one.
    const offsets = [0, ...[...this.readings.values()].map(({ offset }) => offset)];
    offsets.sort((left, right) => left - right);
    const median = offsets[Math.floor((offsets.length - 1) / 2)]!;
    return Math.abs(median) > TOLERANCE ? median : 0;
  }
}
