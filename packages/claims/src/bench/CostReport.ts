import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimLoad, LoadSettings } from './ClaimLoad.js';
import type { StoreCost } from './BenchStore.js';

/** The conditions of a measurement. */
export interface CostSettings {
  load: LoadSettings;
  storeLatency: Milliseconds;
  /** One way between two daemons. */
  networkLatency: Milliseconds;
  retention: Milliseconds;
  /** The body of each response. */
  body: string;
  /** Whether the store does not respond during the measurement. */
  isOutage: boolean;
}

/** The cost of a design for storing claims, per second where the name says so. */
export interface CostReport {
  design: string;
  claimsPerSecond: number;
  /** Share of the requests that were granted. */
  grantedShare: number;
  writesPerSecond: number;
  readsPerSecond: number;
  deletesPerSecond: number;
  kilobytesPerSecond: number;
  median: Milliseconds;
  ninetyNinth: Milliseconds;
  claimsPerCommit?: number;
}

function getQuantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Converts counts before and after the measurement into rates per second. */
export function createReport(
  design: string,
  { load: { measuredTime } }: CostSettings,
  load: ClaimLoad,
  before: StoreCost,
  after: StoreCost,
): CostReport {
  const seconds = measuredTime / 1000;
  const rate = (kind: keyof StoreCost) => (after[kind] - before[kind]) / seconds;
  const sorted = [...load.latencies].sort((left, right) => left - right);
  return {
    design,
    claimsPerSecond: load.measuredRequests / seconds,
    grantedShare: sorted.length / load.measuredRequests,
    writesPerSecond: rate('writes'),
    readsPerSecond: rate('reads'),
    deletesPerSecond: rate('deletes'),
    kilobytesPerSecond: rate('writtenBytes') / 1000,
    median: getQuantile(sorted, 0.5),
    ninetyNinth: getQuantile(sorted, 0.99),
  };
}
