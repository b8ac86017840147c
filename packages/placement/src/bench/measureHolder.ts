import { createRandom, ManualClock } from '@apricotrill/utils';
import type { PlatformStore, StoredObject } from '@apricotrill/store';
import { EngineRole } from '@apricotrill/model';
import { getDesiredPlacement } from '../lib/DesiredPlacement/getDesiredPlacement.js';
import { PlacementManager } from '../lib/PlacementManager/PlacementManager.js';
import { defaultPlacementOptions } from '../lib/placementOptions.js';
import { createFleet } from './createFleet.js';
import type { EngineClient } from '../lib/EngineClient/EngineClient.js';

const SECOND = 1_000;
const SETTLING = 1_200 * SECOND;
const MEASURED = 600 * SECOND;

/** What a holder does while every engine is as it should be, per second. */
interface HolderCost {
  looks: number;
  storeReads: number;
  storeWrites: number;
  /** Milliseconds of processor time, without the sockets. */
  processor: number;
  /** From the lease to the last engine seen, in seconds. */
  firstRound: number;
}

function createStore(counts: { reads: number; writes: number }): PlatformStore {
  let object: StoredObject | undefined;
  let version = 0;
  const missing = () => Promise.reject(new Error('not needed here'));
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
    delete: missing,
    list: missing,
    watch: missing,
  };
}

async function advance(clock: ManualClock, span: number): Promise<void> {
  const end = clock.now() + span;
  while (clock.runNext(end)) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
  clock.advance(end - clock.now());
}

/**
 * Runs one holder on a clock of its own over a service whose engines are as they should be, and
 * counts its calls. Engines and store answer in process.
 *
 * @internal
 */
export async function measureHolder(replicas: number): Promise<HolderCost> {
  const clock = new ManualClock(0);
  const counts = { reads: 0, writes: 0, looks: 0 };
  const times = { gained: 0, met: 0 };
  const configuration = createFleet(replicas, ['model-1@1']);
  const { engines } = getDesiredPlacement(configuration, 'chat', defaultPlacementOptions);
  const orders: EngineClient = {
    observe: async ({ id }) => {
      counts.looks += 1;
      const loaded = [...engines.get(id)!.names];
      return { loaded, loading: [], role: EngineRole.Mixed, highestFencingNumber: 0 };
    },
    order: () => Promise.reject(new Error('no order is due')),
  };
  const manager = new PlacementManager({
    self: 'daemon-1',
    clock,
    random: createRandom(1),
    store: createStore(counts),
    engines: orders,
    getConfiguration: () => configuration,
    onEvent: ({ kind, at }) => {
      times.gained = kind === 'lease-gained' ? at : times.gained;
      times.met = kind === 'engine-met' ? at : times.met;
    },
  });
  await advance(clock, SETTLING);
  const before = { ...counts };
  const start = process.cpuUsage();
  await advance(clock, MEASURED);
  const { user, system } = process.cpuUsage(start);
  manager.dispose();
  const seconds = MEASURED / SECOND;
  return {
    looks: (counts.looks - before.looks) / seconds,
    storeReads: (counts.reads - before.reads) / seconds,
    storeWrites: (counts.writes - before.writes) / seconds,
    processor: (user + system) / SECOND / seconds,
    firstRound: (times.met - times.gained) / SECOND,
  };
}
