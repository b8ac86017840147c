import type { Milliseconds } from '@apricotrill/utils';

/** Half-life of the measurement: long enough for some streams to end, short enough to follow a burst. */
const HALF_LIFE: Milliseconds = 4_000;

/** Time in a slot that is assumed before requests have ended; counts as much as one request. */
const INITIAL_HOLD: Milliseconds = 1_000;

/**
 * Measures how long requests hold the slots of a group of engines: the time that all requests spent in
 * slots, divided by the number of requests that ended. Requests that still run count with the time so far,
 * so that long responses count before they end.
 */
export class SlotTurnover {
  private exposure: Milliseconds = 0;

  private ended = 0;

  private running = 0;

  private updatedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.updatedAt = now;
  }

  /** Records the requests that run now, after those that began were recorded. */
  update(running: number, now: Milliseconds): void {
    const elapsed = now - this.updatedAt;
    const retained = 0.5 ** (elapsed / HALF_LIFE);
    this.exposure = this.exposure * retained + this.running * elapsed;
    this.ended = this.ended * retained + Math.max(0, this.running - running);
    this.running = running;
    this.updatedAt = now;
  }

  /** Records a request that begins. */
  recordBegin(): void {
    this.running += 1;
  }

  /** Mean time for which a request holds its slot. */
  get hold(): Milliseconds {
    return (this.exposure + INITIAL_HOLD) / (this.ended + 1);
  }
}
