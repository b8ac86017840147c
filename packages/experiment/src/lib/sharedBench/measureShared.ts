import { cpus, loadavg, totalmem } from 'node:os';
import type { Milliseconds } from '@apricotrill/utils';
import { measureHandOver } from './handOver/measureHandOver.js';
import { wait } from './processes/waitUntil.js';
import { SharedFleet } from './SharedFleet.js';
import type { FleetSize } from './SharedFleet.js';
import type { HandOverRounds, SharedReading, SizeReading } from './SharedReading.js';
import { measureBase } from './spread/measureBase.js';
import { measureChanges } from './spread/measureChanges.js';
import { measureIdle } from './spread/measureIdle.js';

/** Until comparisons after the start are over and code is compiled. */
const WARM_UP: Milliseconds = 15_000;

/** As many backend servers as the example deployment has. */
const BACKENDS = { engines: 8, services: 4 };

const HAND_OVER_SIZE = { daemons: 9, engines: 2, services: 2 };

/** What to measure and for how long. */
export interface SharedSettings {
  /** Numbers of daemons. */
  sizes: number[];
  zones: number;
  changes: number;
  windows: number;
  window: Milliseconds;
  /** Rolling restarts under load; none leaves the hand-over out. */
  rounds: number;
  /** Hears what begins. */
  onStep: (step: string) => void;
}

function getLoad(): number {
  return loadavg()[0]!;
}

async function withFleet<Result>(
  size: FleetSize,
  use: (fleet: SharedFleet) => Promise<Result>,
): Promise<Result> {
  const fleet = await SharedFleet.start(size);
  try {
    await wait(WARM_UP);
    return await use(fleet);
  } finally {
    await fleet.dispose();
  }
}

async function measureSize(
  fleet: SharedFleet,
  { zones, changes, windows, window, onStep }: SharedSettings,
): Promise<SizeReading> {
  const daemons = fleet.daemons.length;
  const before = getLoad();
  onStep(`${daemons} daemons, idle`);
  const idle = await measureIdle(fleet, { windows, window });
  onStep(`${daemons} daemons, ${changes} changes`);
  const reading = await measureChanges(fleet, changes, idle);
  return { daemons, zones, load: { before, after: getLoad() }, idle, changes: reading };
}

async function measureNext(
  fleet: SharedFleet,
  settings: SharedSettings,
): Promise<Pick<SharedReading, 'sizes'>> {
  return { sizes: [await measureSize(fleet, settings)] };
}

/** What any daemon takes is measured beside the first fleet, whose backend servers it asks. */
async function measureFirst(
  fleet: SharedFleet,
  settings: SharedSettings,
): Promise<Pick<SharedReading, 'base' | 'sizes'>> {
  const base = await measureBase(fleet, settings.window);
  return { base, sizes: [await measureSize(fleet, settings)] };
}

async function measureSizes(
  settings: SharedSettings,
): Promise<Pick<SharedReading, 'base' | 'sizes'>> {
  const { zones, onStep } = settings;
  let found: Pick<SharedReading, 'base' | 'sizes'> = { sizes: [] };
  for (let index = 0; index < settings.sizes.length; index += 1) {
    const daemons = settings.sizes[index]!;
    onStep(`${daemons} daemons, starting`);
    const measure = index === 0 ? measureFirst : measureNext;
    // One fleet after the other.
    // eslint-disable-next-line no-await-in-loop
    const next = await withFleet({ daemons, zones, ...BACKENDS }, (fleet) =>
      measure(fleet, settings),
    );
    found = { ...found, ...next, sizes: [...found.sizes, ...next.sizes] };
  }
  return found;
}

async function measureHandOvers({
  zones,
  rounds: count,
  onStep,
}: SharedSettings): Promise<HandOverRounds> {
  const before = getLoad();
  const rounds: HandOverRounds['rounds'] = [];
  await withFleet({ ...HAND_OVER_SIZE, zones }, async (fleet) => {
    for (let round = 1; round <= count; round += 1) {
      onStep(`rolling restart ${round} of ${count}`);
      // eslint-disable-next-line no-await-in-loop
      rounds.push(await measureHandOver(fleet, round, onStep));
    }
  });
  return { load: { before, after: getLoad() }, rounds };
}

/**
 * Measures what daemons share at several sizes, then the rolling restart under load.
 *
 * @throws StepError when a process does not start, or a fleet does not find together
 * @internal
 */
export async function measureShared(settings: SharedSettings): Promise<SharedReading> {
  const reading = {
    startedAt: new Date().toISOString(),
    machine: { cores: cpus().length, memoryBytes: totalmem(), node: process.version },
    ...(await measureSizes(settings)),
  };
  return settings.rounds === 0
    ? reading
    : { ...reading, handOver: await measureHandOvers(settings) };
}
