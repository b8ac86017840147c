import { max, median, min } from 'simple-statistics';

/** A figure over several seeds. */
export interface Spread {
  median: number;
  min: number;
  max: number;
  /** Each run's, in the order of the seeds. */
  values: number[];
}

/**
 * Median and range of a figure over several runs.
 *
 * @throws Error when there is no value
 * @example
 * ```ts
 * const { median } = getSpread(runs.map((run) => run.chat.goodput));
 * ```
 * @internal
 */
export function getSpread(values: number[]): Spread {
  return { median: median(values), min: min(values), max: max(values), values };
}
