import type { Milliseconds } from '@apricotrill/utils';

/** Digits and letters, which give the shortest text of a number. */
const BASE = 36;

/**
 * Number of prefixes. They repeat after 46 seconds, long after peers have forgotten the attempts of
 * a previous run.
 */
const PREFIXES = BASE ** 3;

/**
 * Generates short keys for a daemon's attempts, which are used in the updates to all peers. Request
 * IDs would take up a fifth of the bytes. The keys of each run of a daemon share a prefix, so that
 * peers don't mistake its first attempts for those of the previous run.
 *
 * @example
 * ```ts
 * const keys = new AttemptKeys(clock.now());
 * keys.next(); // 'k3x0'
 * ```
 */
export class AttemptKeys {
  private readonly prefix: string;

  private count = 0;

  constructor(startedAt: Milliseconds) {
    this.prefix = (Math.floor(startedAt) % PREFIXES).toString(BASE).padStart(3, '0');
  }

  next(): string {
    const index = this.count;
    this.count += 1;
    return this.prefix + index.toString(BASE);
  }
}
