/** What one daemon takes, with a little above what was measured. */
const DAEMON_BYTES = 100 * 2 ** 20;

/** Well under half of the machine's memory. */
const MEMORY_PART = 0.4;

/**
 * The fleet sizes that the machine carries: larger ones are cut to the largest it does.
 *
 * @param wanted - numbers of daemons
 * @param memoryBytes - of the machine
 * @returns each size once, from small to large
 * @internal
 */
export function getAffordableSizes(wanted: readonly number[], memoryBytes: number): number[] {
  const most = Math.floor((memoryBytes * MEMORY_PART) / DAEMON_BYTES);
  const sizes = new Set(wanted.map((size) => Math.min(size, most)));
  return [...sizes].sort((left, right) => left - right);
}
