import type { Milliseconds } from '@apricotrill/utils';
import type { ReplicaTrial } from '../ReplicaTrial/ReplicaTrial.js';

/** Weight of the newest measurement in the moving average. */
const NEWEST_WEIGHT = 0.15;

/** Latency that is assumed before the first measurement. */
const INITIAL_LATENCY: Milliseconds = 80;

/** Moving average of the latency of a replica's requests, at a slowdown of 1. */
export class MeasuredLatency {
  private current = INITIAL_LATENCY;

  private hasMeasurement = false;

  /** The trial in which the latency was last measured. */
  private round = 0;

  constructor(private readonly trial: ReplicaTrial) {}

  get value(): Milliseconds {
    return this.current;
  }

  get isMeasured(): boolean {
    return this.hasMeasurement;
  }

  record(latency: Milliseconds): void {
    const isOutdated = this.round !== this.trial.round;
    this.round = this.trial.round;
    this.hasMeasurement = true;
    this.current += (isOutdated ? 1 : NEWEST_WEIGHT) * (latency - this.current);
  }
}
