import { parseArgs } from 'node:util';
import type { ClaimOptions } from '../lib/ClaimOptions.js';
import type { CostReport, CostSettings } from './CostReport.js';
import { runObjectPerKey } from './runObjectPerKey.js';
import { runOwnedShards } from './runOwnedShards.js';

/**
 * Compares designs for storing claims, on a simulated clock: `node dist/bench/claimCost.js`.
 * `--minutes` shortens the retention and with it the run. Published figures use 15 minutes.
 */

const MINUTE = 60_000;

const { values } = parseArgs({ options: { minutes: { type: 'string', default: '15' } } });

const RETENTION = Number(values.minutes) * MINUTE;

/**
 * The load runs for a little longer than the retention first, so that old keys expire during the
 * measurement.
 */
const WARM_UP = RETENTION + MINUTE;

const BODY = JSON.stringify({ hold: 'h-20481', state: 'placed', note: 'x'.repeat(160) });

function createSettings(claimsPerSecond: number): CostSettings {
  return {
    load: { claimsPerSecond, runTime: 200, warmUp: WARM_UP, measuredTime: MINUTE, seed: 1 },
    storeLatency: 5,
    networkLatency: 1.5,
    retention: RETENTION,
    body: BODY,
    isOutage: false,
  };
}

const COLUMNS: [string, (report: CostReport) => string][] = [
  ['design', ({ design }) => design],
  ['granted, %', (report) => (100 * report.grantedShare).toFixed(1)],
  ['claims/s', (report) => report.claimsPerSecond.toFixed(1)],
  ['writes/s', (report) => report.writesPerSecond.toFixed(1)],
  ['reads/s', (report) => report.readsPerSecond.toFixed(2)],
  ['deletes/s', (report) => report.deletesPerSecond.toFixed(1)],
  ['KB written/s', (report) => report.kilobytesPerSecond.toFixed(0)],
  ['claims per commit', ({ claimsPerCommit }) => (claimsPerCommit || 0).toFixed(2)],
  ['added ms, median', ({ median }) => median.toFixed(1)],
  ['added ms, 99th', ({ ninetyNinth }) => ninetyNinth.toFixed(1)],
];

function printRow(cells: string[]): void {
  process.stdout.write(`| ${cells.join(' | ')} |\n`);
}

async function compare(
  title: string,
  settings: CostSettings,
  daemons: number,
  designs: Partial<ClaimOptions>[],
): Promise<void> {
  process.stdout.write(`\n${title}\n\n`);
  printRow(COLUMNS.map(([name]) => name));
  printRow(COLUMNS.map(() => '---'));
  const print = (report: CostReport) => printRow(COLUMNS.map(([, show]) => show(report)));
  print(await runObjectPerKey(settings));
  for (const options of designs) {
    // One run at a time: each holds the keys of a whole retention period in memory.
    // eslint-disable-next-line no-await-in-loop
    print(await runOwnedShards(settings, daemons, options));
  }
}

const today = createSettings(5);

await compare('Today: 5 claims/s at 9 daemons', today, 9, [{ shards: 16, commitInterval: 100 }]);

await compare(
  'In two years: 420 claims/s, entry daemons simulated by 64',
  createSettings(420),
  64,
  [
    { shards: 16, commitInterval: 100 },
    { shards: 64, commitInterval: 100 },
    { shards: 64, commitInterval: 400 },
    { shards: 64, commitInterval: 400, witnessDelay: 5 },
  ],
);

await compare(
  'Today, while the store does not respond for a minute',
  { ...today, isOutage: true },
  9,
  [{ shards: 16, commitInterval: 100 }],
);
