import type { Milliseconds } from '@apricotrill/utils';
import { readProcessUsage } from '../measure/ProcessUsage.js';
import { BenchModel } from './Bench.js';
import type { Bench } from './Bench.js';
import { LoadThread } from './LoadThread.js';
import { measureFirstByte } from './measureFirstByte.js';
import type { FirstByteReading } from './measureFirstByte.js';

const MILLISECONDS_PER_SECOND = 1000;

/** The two-year size: 42,000 requests a second over 1,800 daemons. */
export const SHARE_REQUESTS = 42_000 / 1_800;

/** The two-year size: 20 million tokens a second over 1,800 daemons. */
export const SHARE_TOKENS = 20_000_000 / 1_800;

/** Answers end anywhere below the limit, on average at six tenths of it. */
const MEAN_LENGTH_PART = 0.6;

/** Tokens a call may ask for, so that calls and tokens come to the share together. */
const MAX_TOKENS = Math.round(SHARE_TOKENS / SHARE_REQUESTS / MEAN_LENGTH_PART);

/** The longest answer at 20 ms a token, until streams end as often as they begin. */
const RAMP: Milliseconds = MAX_TOKENS * 20 + 500;

/** What the daemon did at one load. */
export interface RelayReading {
  /** Load as a part of the two-year share. */
  share: number;
  requestsPerSecond: number;
  tokensPerSecond: number;
  /** Part of one core. */
  core: number;
  /** Processor time for 1,000 tokens, calls included. */
  perThousandTokens: Milliseconds;
  residentBytes: number;
  failed: number;
  lastError?: string;
  firstByte: FirstByteReading;
}

function wait(span: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, span);
  });
}

/**
 * Loads the daemon at a part of the two-year share and reads what it uses, while probes compare
 * time to first byte with and without it.
 *
 * @param bench - the processes
 * @param share - 1 is 23 requests and 11,000 tokens a second
 * @param window - how long to measure after the load has become steady
 * @internal
 */
export async function measureRelay(
  bench: Bench,
  share: number,
  window: Milliseconds,
  seed: number,
): Promise<RelayReading> {
  const load = new LoadThread({
    targets: [bench.getDaemonTarget(BenchModel.Load)],
    requestsPerSecond: SHARE_REQUESTS * share,
    maxTokens: MAX_TOKENS,
    seed,
  });
  await wait(RAMP);
  const before = { ...(await load.getCounts()), ...readProcessUsage(bench.daemon.pid) };
  const start = performance.now();
  const [direct] = bench.getDirectTargets(BenchModel.Probe);
  const through = bench.getDaemonTarget(BenchModel.Probe);
  const firstByte = await measureFirstByte(direct!, through, window);
  const span = performance.now() - start;
  const after = { ...(await load.getCounts()), ...readProcessUsage(bench.daemon.pid) };
  await load.stop();
  const tokens = after.events - before.events;
  const processorTime = after.processorTime - before.processorTime;
  return {
    share,
    requestsPerSecond: ((after.sent - before.sent) * MILLISECONDS_PER_SECOND) / span,
    tokensPerSecond: (tokens * MILLISECONDS_PER_SECOND) / span,
    core: processorTime / span,
    perThousandTokens: (processorTime * 1000) / tokens,
    residentBytes: after.residentBytes,
    failed: after.failed,
    lastError: after.lastError,
    firstByte,
  };
}
