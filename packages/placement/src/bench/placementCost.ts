/**
 * Measures the cost of placement for 10 to 6,900 replicas: planning, the rounds of a lease holder,
 * one observation over HTTP, and the ranks of 105 leases over 1,800 daemons.
 * Run with `node dist/bench/placementCost.js`.
 */
import { getLeaseRank } from '@apricotrill/lease';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { measureHolder } from './measureHolder.js';
import { measureObservations } from './measureObservations.js';
import { measurePlanner } from './measurePlanner.js';

const SIZES = [10, 100, 1_000, 6_900];
const LEASES = 105;
const MEMBERS = 1_800;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printPlanner(): void {
  print('replicas | desired placement, ms | converged plan, ms | full plan, ms');
  SIZES.forEach((size) => {
    const { desiredPlacement, convergedPlan, fullPlan } = measurePlanner(size);
    print(
      `${size} | ${desiredPlacement.toFixed(3)} | ${convergedPlan.toFixed(3)} | ${fullPlan.toFixed(3)}`,
    );
  });
}

async function printHolder(): Promise<void> {
  print('replicas | observations/s | store reads/s | writes/s | processor, ms/s | first round, s');
  for (let index = 0; index < SIZES.length; index += 1) {
    const size = SIZES[index]!;
    // Sequential, so that the measurements do not compete for the processor.
    // eslint-disable-next-line no-await-in-loop
    const cost = await measureHolder(size);
    const { observations, storeReads, storeWrites, processorTime, firstRoundDuration } = cost;
    const store = `${storeReads.toFixed(2)} | ${storeWrites.toFixed(2)}`;
    const duration = `${processorTime.toFixed(3)} | ${firstRoundDuration.toFixed(1)}`;
    print(`${size} | ${observations.toFixed(2)} | ${store} | ${duration}`);
  }
}

async function printObservations(): Promise<void> {
  print('connection | busy thread per observation, ms | bytes of HTTP per observation');
  const reused = await measureObservations(false);
  print(`reused | ${reused.processorTime.toFixed(3)} | ${reused.bytes.toFixed(0)}`);
  const opened = await measureObservations(true);
  print(
    `new for each observation | ${opened.processorTime.toFixed(3)} | ${opened.bytes.toFixed(0)}`,
  );
}

function printRanks(): void {
  const members = Array.from({ length: MEMBERS }, (_, index) => `daemon-${index}`);
  const { maxCandidates: candidates } = defaultPlacementOptions.lease;
  const start = performance.now();
  members.slice(0, 100).forEach((self) => {
    for (let lease = 0; lease < LEASES; lease += 1) {
      getLeaseRank(`placement-${lease}`, self, members, candidates);
    }
  });
  const duration = (performance.now() - start) / 100;
  print(`ranks of ${LEASES} leases over ${MEMBERS} daemons: ${duration.toFixed(2)} ms`);
}

printPlanner();
printRanks();
await printHolder();
await printObservations();
