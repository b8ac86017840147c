import { createRandom, ManualClock } from '@apricotrill/utils';
import type { PlatformStore, StoredObject } from '@apricotrill/store';
import { EngineRole } from '@apricotrill/model';
import { getDesiredPlacement } from '../lib/DesiredPlacement/getDesiredPlacement.js';
import { PlacementManager } from '../lib/PlacementManager/PlacementManager.js';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { createFleet } from './createFleet.js';
import type { EngineClient } from '../lib/EngineClient/EngineClient.js';

const MILLISECONDS_PER_SECOND = 1_000;
const SETTLING_DURATION = 1_200 * MILLISECONDS_PER_SECOND;
const MEASURED_DURATION = 600 * MILLISECONDS_PER_SECOND;

/** The cost of a lease holder whose engines have all converged, per second. */
interface HolderCost {
  observations: number;
  storeReads: number;
  storeWrites: number;
  /** Milliseconds of processor time, without network I/O. */
  processorTime: number;
  /** From acquiring the lease to observing the last engine, in seconds. */
  firstRoundDuration: number;
}

function createStore(counts: { reads: number; writes: number }): PlatformStore {
  let object: StoredObject | undefined;
  let version = 0;
  const unsupported = () => Promise.reject(new Error('not needed here'));
  return {
    get: async () => {
      Object.assign(counts, { reads: counts.reads + 1 });
      return object;
    },
    put: async (key, value) => {
      Object.assign(counts, { writes: counts.writes + 1 });
      version += 1;
      object = { key, value, version };
      return { kind: 'accepted', version };
    },
    delete: unsupported,
    list: unsupported,
    watch: unsupported,
  };
}

async function advance(clock: ManualClock, duration: number): Promise<void> {
  const end = clock.now() + duration;
  while (clock.runNext(end)) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  clock.advance(end - clock.now());
}

/**
 * Runs one lease holder on a manual clock for a service whose engines have all converged, and
 * counts its calls. Engines and store are simulated in process.
 *
 * @internal
 */
export async function measureHolder(replicas: number): Promise<HolderCost> {
  const clock = new ManualClock(0);
  const counts = { reads: 0, writes: 0, observations: 0 };
  const eventTimes = { leaseGained: 0, lastEngineMet: 0 };
  const configuration = createFleet(replicas, ['model-1@1']);
  const { engines } = getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
  const engineClient: EngineClient = {
    observe: async ({ id }) => {
      counts.observations += 1;
      const loaded = [...engines.get(id)!.modelNames];
      return { loaded, loading: [], role: EngineRole.Mixed, highestFencingNumber: 0 };
    },
    order: () => Promise.reject(new Error('no order is due')),
  };
  const manager = new PlacementManager({
    self: 'daemon-1',
    clock,
    random: createRandom(1),
    store: createStore(counts),
    engines: engineClient,
    getConfiguration: () => configuration,
    onEvent: ({ kind, at }) => {
      eventTimes.leaseGained = kind === 'lease-gained' ? at : eventTimes.leaseGained;
      eventTimes.lastEngineMet = kind === 'engine-met' ? at : eventTimes.lastEngineMet;
    },
  });
  await advance(clock, SETTLING_DURATION);
  const before = { ...counts };
  const start = process.cpuUsage();
  await advance(clock, MEASURED_DURATION);
  const { user, system } = process.cpuUsage(start);
  manager.dispose();
  const seconds = MEASURED_DURATION / MILLISECONDS_PER_SECOND;
  return {
    observations: (counts.observations - before.observations) / seconds,
    storeReads: (counts.reads - before.reads) / seconds,
    storeWrites: (counts.writes - before.writes) / seconds,
    processorTime: (user + system) / MILLISECONDS_PER_SECOND / seconds,
    firstRoundDuration:
      (eventTimes.lastEngineMet - eventTimes.leaseGained) / MILLISECONDS_PER_SECOND,
  };
}
