import { median } from 'simple-statistics';
import type { Milliseconds } from '@apricotrill/utils';
import { ClusterFleet } from './ClusterFleet.js';
import { createEdited, createSizedConfiguration } from './sizedConfiguration.js';

const CHANGES = 5;

/** Between two changes, so that the news of one has settled before the next. */
const REST: Milliseconds = 5_000;

/** What the spread of one change took. */
export interface SpreadReading {
  /** Until it was in force at the last daemon. */
  delay: Milliseconds;
  /** Sent by one daemon, on average, above what a quiet fleet sends. */
  messages: number;
  bytes: number;
  /** Reads at the store, of the whole fleet, above those of a quiet one. */
  reads: number;
  /** Watches that wait at the store, of the whole fleet. */
  waitingWatches: number;
}

/**
 * Lets a fleet settle on a configuration and then changes one entry several times.
 *
 * @returns medians over the changes
 * @internal
 */
export async function readSpread(daemons: number, replicas: number): Promise<SpreadReading> {
  const fleet = new ClusterFleet(daemons);
  await fleet.start();
  const configuration = createSizedConfiguration(replicas);
  await fleet.change(configuration);
  await fleet.advance(REST);
  const start = fleet.getCounts();
  await fleet.advance(REST);
  const quiet = fleet.getCounts();
  const readings: SpreadReading[] = [];
  for (let edit = 0; edit < CHANGES; edit += 1) {
    const before = fleet.getCounts();
    // eslint-disable-next-line no-await-in-loop
    const delay = await fleet.change(createEdited(configuration, edit));
    // eslint-disable-next-line no-await-in-loop
    await fleet.advance(REST - delay);
    const after = fleet.getCounts();
    const getExcess = (field: 'messages' | 'bytes' | 'reads') =>
      after[field] - before[field] - (quiet[field] - start[field]);
    readings.push({
      delay,
      messages: getExcess('messages') / daemons,
      bytes: getExcess('bytes') / daemons,
      reads: getExcess('reads'),
      waitingWatches: after.waitingWatches,
    });
  }
  fleet.dispose();
  const getMedian = (field: keyof SpreadReading) =>
    median(readings.map((reading) => reading[field]));
  return {
    delay: getMedian('delay'),
    messages: getMedian('messages'),
    bytes: getMedian('bytes'),
    reads: getMedian('reads'),
    waitingWatches: getMedian('waitingWatches'),
  };
}
