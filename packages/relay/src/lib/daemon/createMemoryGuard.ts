import type { Clock } from '@apricotrill/utils';
import { getHeapStatistics } from 'node:v8';
import { getHeapLimit } from '../memory/getHeapLimit.js';
import { getMemoryBudget } from '../memory/getMemoryBudget.js';
import { memoryOptions } from '../memory/memoryOptions.js';
import { MemoryGuard } from '../memory/MemoryGuard/MemoryGuard.js';
import { ProcessMemory } from '../memory/ProcessMemory/ProcessMemory.js';
import { watchHeap } from '../memory/watchHeap.js';
import type { RelayLog } from '../observe/RelayEvent.js';
import type { RelayMetrics } from '../observe/RelayMetrics.js';

/** Dependencies of the memory guard of a daemon. */
export interface MemoryGuardDependencies {
  clock: Clock;
  log: RelayLog;
  metrics: RelayMetrics;
  /** Memory of the process in bytes; undefined if it is not bounded. */
  limit: number | undefined;
}

/** @returns the memory that the process uses; 0 if that is not known */
function getRss(log: RelayLog): number {
  try {
    return process.memoryUsage.rss();
  } catch (error) {
    log({ event: 'fault', step: 'read the use of memory', error: String(error) });
    return 0;
  }
}

/** Whether the process can be kept below its limit, which may be lower than what it uses by itself. */
function leavesRoom(limit: number, own: number): boolean {
  const { minBudgetBytes, overhead, ownBytes, reservedBytes } = memoryOptions;
  return limit >= (own || ownBytes) + reservedBytes + overhead * minBudgetBytes;
}

/** Creates the guard of the memory that a daemon holds for callers, replicas and other daemons. */
export function createMemoryGuard(dependencies: MemoryGuardDependencies): MemoryGuard {
  const { clock, limit, log, metrics } = dependencies;
  const own = limit === undefined ? 0 : getRss(log);
  const budget = limit === undefined ? undefined : getMemoryBudget(limit, own);
  const heapLimit = getHeapLimit(getHeapStatistics().heap_size_limit);
  if (limit !== undefined && budget !== undefined) {
    log({ event: 'memory-bound', limit, own, budget, heap: heapLimit });
  }
  const processMemory =
    limit !== undefined && leavesRoom(limit, own)
      ? new ProcessMemory({ clock, limit, readRss: () => getRss(log) })
      : undefined;
  const guard: MemoryGuard = new MemoryGuard({
    clock,
    budget,
    heapLimit,
    process: processMemory,
    onChanged: (isFull, held) =>
      log({
        event: isFull ? 'memory-full' : 'memory-available',
        held,
        heap: guard.heapBytes,
        rss: processMemory?.rss,
      }),
  });
  processMemory?.onChanged((isNear, use) =>
    log({
      event: isNear ? 'memory-pressure' : 'memory-relieved',
      ...use,
      held: guard.held.total,
      heap: guard.heapBytes,
    }),
  );
  watchHeap((usedBytes) => guard.recordCollection(usedBytes));
  metrics.addGauges('held_bytes', 'Bytes held for callers and replicas.', 'kind', () =>
    guard.held.getCounts(),
  );
  metrics.addGauge(
    'held_bytes_bound',
    'Bytes that may be held; 0 if not bounded.',
    () => budget ?? 0,
  );
  metrics.addGauge(
    'memory_limit_bytes',
    'Memory beyond which the process is killed; 0 if not bounded.',
    () => limit ?? 0,
  );
  metrics.addGauge(
    'heap_bytes',
    'Bytes in use on the heap, without garbage.',
    () => guard.heapBytes,
  );
  metrics.addGauge('heap_bytes_bound', 'Bytes that objects may take on the heap.', () => heapLimit);
  return guard;
}
