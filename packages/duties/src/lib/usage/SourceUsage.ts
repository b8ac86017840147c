import type { Milliseconds } from '@apricotrill/utils';

/**
 * Requests that replicas started in one window, as counted by one daemon process. Counts only grow,
 * so an update that arrives late, repeatedly or in parts is harmless.
 *
 * @public
 */
export interface SourceUsage {
  /** Identifies the daemon process that counted; it changes with each restart. */
  source: string;
  /** Number of the window, counted from the Unix epoch. */
  window: number;
  /** Pairs of workspace and count. */
  counts: readonly (readonly [string, number])[];
}

/**
 * Returns the number of the window that contains a point in time.
 *
 * @param at - Unix milliseconds
 * @example
 * ```ts
 * getWindow(12_000, 5_000); // 2
 * ```
 * @public
 */
export function getWindow(at: Milliseconds, span: Milliseconds): number {
  return Math.floor(at / span);
}

/** Returns the end of a window, in Unix milliseconds. */
export function getWindowEnd(window: number, span: Milliseconds): Milliseconds {
  return (window + 1) * span;
}
