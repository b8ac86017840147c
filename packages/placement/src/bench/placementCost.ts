/**
 * Measures what placement costs at 10 to 6,900 replicas: planning, the rounds of a holder, a look
 * over HTTP, and the ranks of 105 leases over 1,800 daemons. `node dist/bench/placementCost.js`
 */
import { getLeaseRank } from '@apricotrill/lease';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { measureHolder } from './measureHolder.js';
import { measureLooks } from './measureObservations.js';
import { measurePlanner } from './measurePlanner.js';

const SIZES = [10, 100, 1_000, 6_900];
const LEASES = 105;
const MEMBERS = 1_800;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printPlanner(): void {
  print('replicas | desired placement, ms | quiet plan, ms | busy plan, ms');
  SIZES.forEach((size) => {
    const { desired, quiet, busy } = measurePlanner(size);
    print(`${size} | ${desired.toFixed(3)} | ${quiet.toFixed(3)} | ${busy.toFixed(3)}`);
  });
}

async function printHolder(): Promise<void> {
  print('replicas | looks/s | store reads/s | writes/s | processor, ms/s | first round, s');
  for (let index = 0; index < SIZES.length; index += 1) {
    const size = SIZES[index]!;
    // One after the other, so that they don't share the processor.
    // eslint-disable-next-line no-await-in-loop
    const cost = await measureHolder(size);
    const { looks, storeReads, storeWrites, processor, firstRound } = cost;
    const store = `${storeReads.toFixed(2)} | ${storeWrites.toFixed(2)}`;
    const time = `${processor.toFixed(3)} | ${firstRound.toFixed(1)}`;
    print(`${size} | ${looks.toFixed(2)} | ${store} | ${time}`);
  }
}

async function printLooks(): Promise<void> {
  print('connection | busy thread per look, ms | bytes of HTTP per look');
  const kept = await measureLooks(false);
  print(`kept | ${kept.processor.toFixed(3)} | ${kept.bytes.toFixed(0)}`);
  const fresh = await measureLooks(true);
  print(`new for each look | ${fresh.processor.toFixed(3)} | ${fresh.bytes.toFixed(0)}`);
}

function printRanks(): void {
  const members = Array.from({ length: MEMBERS }, (_, index) => `daemon-${index}`);
  const { candidates } = defaultPlacementOptions.lease;
  const start = performance.now();
  members.slice(0, 100).forEach((self) => {
    for (let lease = 0; lease < LEASES; lease += 1) {
      getLeaseRank(`placement-${lease}`, self, members, candidates);
    }
  });
  const span = (performance.now() - start) / 100;
  print(`ranks of ${LEASES} leases over ${MEMBERS} daemons: ${span.toFixed(2)} ms`);
}

printPlanner();
printRanks();
await printHolder();
await printLooks();
