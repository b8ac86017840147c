import type { Milliseconds } from '@apricotrill/utils';

/**
 * Requests that replicas began to run in one window, as counted by one life of one daemon. Counts
 * only grow, so a share that is heard late, twice or in parts does no harm.
 *
 * @public
 */
export interface SourceUsage {
  /** The life of the daemon that counted. */
  source: string;
  /** Number of the window, counted from the start of 1970. */
  window: number;
  /** By workspace. */
  counts: readonly (readonly [string, number])[];
}

/**
 * The number of the window that a moment lies in.
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

/** When a window ends, in Unix milliseconds. */
export function getWindowEnd(window: number, span: Milliseconds): Milliseconds {
  return (window + 1) * span;
}
