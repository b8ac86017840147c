import { createRandom, getHash } from '@apricotrill/utils';
import type { Milliseconds, Random } from '@apricotrill/utils';

/** What tells a process from others. */
export interface ProcessIdentity {
  host: string;
  pid: number;
  startedAt: Milliseconds;
}

/**
 * Creates a source of random numbers that differ between processes. Process IDs alone are too similar to be seeds:
 * those of containers are often the same, and the first numbers of small seeds are.
 *
 * @example
 * ```ts
 * const random = createProcessRandom({ host: hostname(), pid: process.pid, startedAt: clock.now() });
 * ```
 * @public
 */
export function createProcessRandom({ host, pid, startedAt }: ProcessIdentity): Random {
  return createRandom(getHash(`${host} ${pid} ${startedAt}`));
}
