import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { median } from 'simple-statistics';
import type { Milliseconds } from '@apricotrill/utils';
import { drainMicrotasks } from './advanceClock.js';
import { fitLine } from './fitLine.js';
import type { Line } from './fitLine.js';

/** Microseconds in a millisecond. */
export const MICROSECONDS = 1000;

const REPEATS = 5;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Processor time of this process, all its threads, while something runs.
 *
 * @internal
 */
export async function measureProcessorTime(run: () => Promise<void> | void): Promise<Milliseconds> {
  const before = process.cpuUsage();
  await run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS;
}

/** What earlier promises and callbacks hold is let go a turn later. */
export async function settleHeap(): Promise<void> {
  await drainMicrotasks();
  collectGarbage();
  await drainMicrotasks();
  collectGarbage();
}

/**
 * Bytes of heap that what `create` returns keeps alive.
 *
 * @internal
 */
export async function measureHeap(create: () => Promise<unknown> | unknown): Promise<number> {
  await settleHeap();
  const before = process.memoryUsage();
  const kept = await create();
  await settleHeap();
  const after = process.memoryUsage();
  const grown = after.heapUsed + after.external - before.heapUsed - before.external;
  // Names the value after the reading, so that it was alive until then.
  return kept === undefined ? 0 : grown;
}

/**
 * Measures at each size several times and fits a line through the medians.
 *
 * @param sizes - three or more
 * @param measure - gives the figure at a size; runs once unmeasured to warm up
 * @example
 * ```ts
 * const line = await measureLine([10, 100, 1000], (size) => getDecisionTime(size));
 * ```
 * @internal
 */
export async function measureLine(
  sizes: readonly number[],
  measure: (size: number) => Promise<number> | number,
): Promise<Line> {
  const points = [];
  await measure(sizes[0]!);
  for (const size of sizes) {
    const values: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat += 1) {
      // One after the other, so that measurements do not disturb each other.
      // eslint-disable-next-line no-await-in-loop
      values.push(await measure(size));
    }
    points.push({ size, value: median(values) });
  }
  return fitLine(points);
}
