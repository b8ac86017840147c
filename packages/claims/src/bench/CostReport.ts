import type { Milliseconds } from '@apricotrill/utils';
import type { ClaimLoad, LoadSettings } from './ClaimLoad.js';
import type { StoreCost } from './BenchStore.js';

/** What a run is measured under. */
export interface CostSettings {
  load: LoadSettings;
  storeLatency: Milliseconds;
  /** One design between two daemons. */
  networkLatency: Milliseconds;
  retention: Milliseconds;
  /** The body of each answer. */
  body: string;
  /** Whether the store gives no answer while the load is measured. */
  isOutage: boolean;
}

/** What a design of keeping claims costs, by second where it says so. */
export interface CostReport {
  design: string;
  claimsPerSecond: number;
  /** Of the requests, how many were granted. */
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

/** Turns counts before and after the measured span into figures by second. */
export function createReport(
  design: string,
  { load: { measured } }: CostSettings,
  load: ClaimLoad,
  before: StoreCost,
  after: StoreCost,
): CostReport {
  const seconds = measured / 1000;
  const rate = (kind: keyof StoreCost) => (after[kind] - before[kind]) / seconds;
  const sorted = [...load.latencies].sort((left, right) => left - right);
  return {
    design,
    claimsPerSecond: load.measured / seconds,
    grantedShare: sorted.length / load.measured,
    writesPerSecond: rate('writes'),
    readsPerSecond: rate('reads'),
    deletesPerSecond: rate('deletes'),
    kilobytesPerSecond: rate('writtenBytes') / 1000,
    median: getQuantile(sorted, 0.5),
    ninetyNinth: getQuantile(sorted, 0.99),
  };
}
