import {
  MICROSECONDS_PER_MILLISECOND,
  measureHeap,
  measureLine,
} from '../../measure/measureCost.js';
import { getWorkedOut, NO_STORE_COST } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { createConfiguration } from '../createConfiguration.js';
import { DAEMON_REQUESTS, twoYearSize } from '../twoYearSize.js';
import { measureRequestTime } from './measureRequestTime.js';
import { SchedulerLoad } from './SchedulerLoad.js';

const SIZES = [10, 100, 1_000, twoYearSize.workspaces];

const REPLICAS = 8;

const BATCHES = { batch: 50, rounds: 20 };

/** Eight replicas with all slots busy, and requests of every workspace waiting. */
async function createBackloggedLoad(workspaces: number): Promise<SchedulerLoad> {
  const size = { replicas: REPLICAS, workspaces, models: 1, availabilityZones: 4 };
  const load = new SchedulerLoad(createConfiguration(size));
  await load.submit(Math.max(1_000, workspaces));
  return load;
}

/** Microseconds for one request that waits among those of all workspaces. */
async function measureRequest(workspaces: number): Promise<number> {
  const load = await createBackloggedLoad(workspaces);
  return measureRequestTime(load, BATCHES);
}

/** What waiting costs as workspaces grow. */
export const admissionProbe: CapacityProbe = {
  role: 'admission',
  async measure(): Promise<RoleCapacity> {
    const common = { sizeName: 'workspaces', atSize: twoYearSize.workspaces };
    const request: Slope = {
      ...common,
      figure: 'one request through the scheduler while all workspaces wait',
      unit: 'µs',
      line: await measureLine(SIZES, measureRequest),
    };
    const heap: Slope = {
      ...common,
      figure: 'heap of a scheduler in which all workspaces wait',
      unit: 'bytes',
      line: await measureLine(SIZES, (size) => measureHeap(() => createBackloggedLoad(size))),
    };
    return {
      role: 'admission',
      mechanism: 'policy: Scheduler, RequestQueue, ClassFairQueue (p-queue)',
      state: 'waiting requests by tier, class and workspace',
      isControl: false,
      daemon: {
        messagesPerSecond: 0,
        bytesPerSecond: 0,
        core:
          (getWorkedOut(request) * DAEMON_REQUESTS) /
          (MICROSECONDS_PER_MILLISECOND * MICROSECONDS_PER_MILLISECOND),
        memoryBytes: getWorkedOut(heap),
      },
      store: NO_STORE_COST,
      slopes: [request, heap],
      assumptions: ['every workspace has a request waiting at this daemon: the worst case'],
    };
  },
};
