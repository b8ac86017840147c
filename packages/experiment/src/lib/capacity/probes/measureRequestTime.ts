import { MICROSECONDS_PER_MILLISECOND, measureProcessorTime } from '../../measure/measureCost.js';
import type { SchedulerLoad } from './SchedulerLoad.js';

/** How many requests are measured. */
export interface RequestBatches {
  /** Requests that are under way together. */
  batch: number;
  rounds: number;
}

/**
 * Microseconds of processor time for one request from submission to its end. Disposes of the load.
 *
 * @example
 * ```ts
 * const span = await measureRequestTime(load, { batch: 50, rounds: 20 });
 * ```
 */
export async function measureRequestTime(
  load: SchedulerLoad,
  { batch, rounds }: RequestBatches,
): Promise<number> {
  const span = await measureProcessorTime(async () => {
    for (let round = 0; round < rounds; round += 1) {
      // One batch after the other, so that the load stays as it was set up.
      // eslint-disable-next-line no-await-in-loop
      await load.submit(batch);
      // eslint-disable-next-line no-await-in-loop
      await load.complete(batch);
    }
  });
  load.scheduler.dispose();
  return (span * MICROSECONDS_PER_MILLISECOND) / (batch * rounds);
}
