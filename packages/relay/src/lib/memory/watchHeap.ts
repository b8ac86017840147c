import { PerformanceObserver, constants } from 'node:perf_hooks';
import type { PerformanceEntry } from 'node:perf_hooks';
import { getHeapSpaceStatistics } from 'node:v8';

type CollectionEntry = PerformanceEntry & { detail: { kind: number } };

/** Spaces whose content a collection of the whole heap does not bound. */
const YOUNG_SPACES = new Set(['new_space', 'new_large_object_space']);

function getUsedBytes(): number {
  return getHeapSpaceStatistics()
    .filter(({ space_name: name }) => !YOUNG_SPACES.has(name))
    .reduce((sum, { space_used_size: bytes }) => sum + bytes, 0);
}

/**
 * Calls back with the bytes in use after each collection of the whole heap, for as long as the process runs.
 *
 * @example
 * ```ts
 * watchHeap((usedBytes) => guard.recordCollection(usedBytes));
 * ```
 */
export function watchHeap(onCollected: (usedBytes: number) => void): void {
  onCollected(getUsedBytes());
  const observer = new PerformanceObserver((list) => {
    const kinds = (list.getEntries() as CollectionEntry[]).map(({ detail }) => detail.kind);
    if (kinds.includes(constants.NODE_PERFORMANCE_GC_MAJOR)) {
      onCollected(getUsedBytes());
    }
  });
  observer.observe({ entryTypes: ['gc'] });
}
