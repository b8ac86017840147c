import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { median } from 'simple-statistics';
import type { Milliseconds } from '@apricotrill/utils';
import { drainMicrotasks } from './advanceClock.js';
import { fitLine } from './fitLine.js';
import type { Line } from './fitLine.js';

export const MICROSECONDS_PER_MILLISECOND = 1000;

const REPEATS = 5;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/**
 * Measures the processor time that this process uses, on all threads, while a function runs.
 *
 * @internal
 */
export async function measureProcessorTime(run: () => Promise<void> | void): Promise<Milliseconds> {
  const before = process.cpuUsage();
  await run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS_PER_MILLISECOND;
}

/** Collects garbage twice: what earlier promises and callbacks hold is freed a turn later. */
export async function settleHeap(): Promise<void> {
  await drainMicrotasks();
  collectGarbage();
  await drainMicrotasks();
  collectGarbage();
}

/**
 * Measures the heap that the value returned by `create` retains, in bytes.
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
  // Refers to the value after the measurement, so that it is not collected before.
  return kept === undefined ? 0 : grown;
}

/**
 * Measures several times at each size and fits a line through the medians.
 *
 * @param sizes - three or more sizes
 * @param measure - measures at a size; called once more, as a warm-up whose result is discarded
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
      // Sequential, so that measurements do not affect each other.
      // eslint-disable-next-line no-await-in-loop
      values.push(await measure(size));
    }
    points.push({ size, value: median(values) });
  }
  return fitLine(points);
}
