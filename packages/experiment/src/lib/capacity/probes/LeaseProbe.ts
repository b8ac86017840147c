import { LeaseManager } from '@apricotrill/lease';
import { defaultPlacementOptions, PlacementManager } from '@apricotrill/placement';
import type { EngineClient, EngineState } from '@apricotrill/placement';
import { EngineRole } from '@apricotrill/model';
import type { Replica } from '@apricotrill/model';
import { MemoryPlatformStore, ObjectStore } from '@apricotrill/store';
import { createRandom, ManualClock } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import { advanceClock } from '../../measure/advanceClock.js';
import { fitLine } from '../../measure/fitLine.js';
import type { Line } from '../../measure/fitLine.js';
import { measureHeap, measureLine, measureProcessorTime } from '../../measure/measureCost.js';
import { getWorkedOut } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { createConfiguration } from '../createConfiguration.js';
import { twoYearSize } from '../twoYearSize.js';

const LEASES = [3, 10, twoYearSize.models];

/** One lease holder looks after the replicas of one model. */
const REPLICAS_PER_MODEL = Math.ceil(twoYearSize.replicas / twoYearSize.models);

const REPLICA_COUNTS = [50, 150, REPLICAS_PER_MODEL];

const SPAN: Milliseconds = 60_000;

const START_SPAN: Milliseconds = 30_000;

const MILLISECONDS_PER_SECOND = 1000;

/** Request and answer of one look at an engine, headers included, of the stand-in engine. */
const LOOK_BYTES = 700;

const { maxCandidates: candidates } = defaultPlacementOptions.lease;

interface LeaseReading {
  leases: number;
  reads: number;
  writes: number;
}

/** Every lease with all its candidates, as they contend at one store. */
async function readLeases(leases: number): Promise<LeaseReading> {
  const clock = new ManualClock(1_000_000);
  const objects = new ObjectStore(clock);
  const stores: MemoryPlatformStore[] = [];
  const managers = Array.from({ length: leases * candidates }, (_, index) => {
    const store = new MemoryPlatformStore({ clock, objects });
    stores.push(store);
    const name = `lease-${Math.floor(index / candidates)}`;
    const getRank = () => index % candidates;
    const onFault = (error: unknown) => {
      throw error;
    };
    return new LeaseManager({ self: `daemon-${index}`, clock, store, name, getRank, onFault });
  });
  const sum = (field: 'reads' | 'writes') =>
    stores.reduce((total, store) => total + store.getCounters()[field], 0);
  await advanceClock(clock, START_SPAN);
  const before = { reads: sum('reads'), writes: sum('writes') };
  await advanceClock(clock, SPAN);
  const seconds = SPAN / MILLISECONDS_PER_SECOND;
  const reads = (sum('reads') - before.reads) / seconds;
  const writes = (sum('writes') - before.writes) / seconds;
  managers.forEach((manager) => manager.dispose());
  return { leases, reads, writes };
}

/** Engines that are as they should be, and count how often they are looked at. */
class ConvergedEngines implements EngineClient {
  looks = 0;

  observe({ placement }: Replica): Promise<EngineState> {
    this.looks += 1;
    const state = { loaded: placement, loading: [], role: EngineRole.Mixed };
    return Promise.resolve({ ...state, highestFencingNumber: 1 });
  }

  // eslint-disable-next-line class-methods-use-this
  order(): Promise<never> {
    return Promise.reject(new Error('converged engines need no order'));
  }
}

function createHolder(replicas: number) {
  const clock = new ManualClock(1_000_000);
  const engines = new ConvergedEngines();
  const configuration = createConfiguration({
    replicas,
    workspaces: 1,
    models: 1,
    availabilityZones: twoYearSize.availabilityZones,
  });
  const placement = new PlacementManager({
    self: 'daemon-0',
    clock,
    random: createRandom(1),
    store: new MemoryPlatformStore({ clock }),
    engines,
    getConfiguration: () => configuration,
    onEvent: () => {},
  });
  return { clock, engines, placement };
}

interface HolderReading {
  replicas: number;
  looks: number;
  core: number;
}

/** A holder that has seen all its engines. */
async function createSettledHolder(replicas: number): Promise<unknown> {
  const holder = createHolder(replicas);
  await advanceClock(holder.clock, 2 * SPAN);
  return holder;
}

/** What the holder of one lease does in a quiet minute. */
async function readHolder(replicas: number): Promise<HolderReading> {
  const { clock, engines, placement } = createHolder(replicas);
  await advanceClock(clock, 2 * SPAN);
  const before = engines.looks;
  const span = await measureProcessorTime(() => advanceClock(clock, SPAN));
  placement.dispose();
  const looks = (engines.looks - before) / (SPAN / MILLISECONDS_PER_SECOND);
  return { replicas, looks, core: span / SPAN };
}

async function readAll<Reading>(
  sizes: readonly number[],
  read: (size: number) => Promise<Reading>,
): Promise<Reading[]> {
  const readings: Reading[] = [];
  await read(sizes[0]!);
  for (let index = 0; index < sizes.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    readings.push(await read(sizes[index]!));
  }
  return readings;
}

function fit<Reading>(
  readings: Reading[],
  getSize: (reading: Reading) => number,
  getValue: (reading: Reading) => number,
): Line {
  return fitLine(readings.map((reading) => ({ size: getSize(reading), value: getValue(reading) })));
}

async function measureSlopes(): Promise<Record<string, Slope>> {
  const leases = await readAll(LEASES, readLeases);
  const holders = await readAll(REPLICA_COUNTS, readHolder);
  const ofLeases = { sizeName: 'leases', atSize: twoYearSize.models };
  const ofReplicas = { sizeName: 'replicas of the model', atSize: REPLICAS_PER_MODEL };
  const createLeaseLine = (getValue: (reading: LeaseReading) => number) =>
    fit(leases, (reading) => reading.leases, getValue);
  const createHolderLine = (getValue: (reading: HolderReading) => number) =>
    fit(holders, ({ replicas }) => replicas, getValue);
  return {
    reads: {
      ...ofLeases,
      figure: 'store reads, all candidates',
      unit: '/s',
      line: createLeaseLine(({ reads }) => reads),
    },
    writes: {
      ...ofLeases,
      figure: 'store writes, all holders',
      unit: '/s',
      line: createLeaseLine(({ writes }) => writes),
    },
    looks: {
      ...ofReplicas,
      figure: 'looks at engines by a holder',
      unit: '/s',
      line: createHolderLine(({ looks }) => looks),
    },
    core: {
      ...ofReplicas,
      figure: 'part of a core of a holder',
      unit: '',
      line: createHolderLine(({ core }) => core),
    },
    heap: {
      ...ofReplicas,
      figure: 'heap of a holder',
      unit: 'bytes',
      line: await measureLine(REPLICA_COUNTS, (size) =>
        measureHeap(() => createSettledHolder(size)),
      ),
    },
  };
}

/** What leases and orders cost. */
export const leaseProbe: CapacityProbe = {
  role: 'lease and orders',
  async measure(): Promise<RoleCapacity> {
    const slopes = await measureSlopes();
    const looks = getWorkedOut(slopes.looks!);
    return {
      role: 'lease and orders',
      mechanism: 'placement: LeaseManager, PlacementManager, ServicePlacement, PlacementPlanner',
      state: 'one lease for each model service; its holder holds the state of its engines',
      isControl: true,
      daemon: {
        messagesPerSecond: looks,
        bytesPerSecond: looks * LOOK_BYTES,
        core: getWorkedOut(slopes.core!),
        memoryBytes: getWorkedOut(slopes.heap!),
      },
      withoutDuty: { messagesPerSecond: 0, bytesPerSecond: 0, core: 0, memoryBytes: 0 },
      store: {
        readsPerSecond: getWorkedOut(slopes.reads!),
        writesPerSecond: getWorkedOut(slopes.writes!),
        waitingWatches: 0,
      },
      slopes: Object.values(slopes),
      assumptions: [
        `figures of a daemon are those of a lease holder: ${twoYearSize.models} of ${twoYearSize.daemons} daemons, each with one model's ${REPLICAS_PER_MODEL} replicas; all engines as they should be`,
        `a look at an engine and its answer take ${LOOK_BYTES} bytes with headers (stand-in engine, rounded up)`,
      ],
    };
  },
};
