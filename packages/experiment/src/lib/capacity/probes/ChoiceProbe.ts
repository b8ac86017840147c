import { MICROSECONDS_PER_MILLISECOND, measureLine } from '../../measure/measureCost.js';
import { getWorkedOut, NO_STORE_COST } from '../CapacityProbe.js';
import type { CapacityProbe, RoleCapacity, Slope } from '../CapacityProbe.js';
import { createConfiguration } from '../createConfiguration.js';
import { DAEMON_REQUESTS, twoYearSize } from '../twoYearSize.js';
import { measureRequestTime } from './measureRequestTime.js';
import { SchedulerLoad } from './SchedulerLoad.js';

const SIZES = [10, 100, 1_000, twoYearSize.replicas];

const BATCHES = { batch: 100, rounds: 30 };

/** All replicas serve one model: the most that one decision can have to choose from. */
function createLoad(replicas: number): SchedulerLoad {
  const size = { replicas, workspaces: 10, models: 1, availabilityZones: 16 };
  return new SchedulerLoad(createConfiguration(size));
}

/** Microseconds for one request from submission to its end, at an idle fleet. */
async function measureRequest(replicas: number): Promise<number> {
  return measureRequestTime(createLoad(replicas), BATCHES);
}

/** What choosing a replica costs as the fleet grows. */
export const choiceProbe: CapacityProbe = {
  role: 'replica choice',
  async measure(): Promise<RoleCapacity> {
    const line = await measureLine(SIZES, measureRequest);
    const slope: Slope = {
      figure: 'one request through the scheduler, replicas of one model growing',
      unit: 'µs',
      sizeName: 'replicas',
      line,
      atSize: twoYearSize.replicas,
    };
    return {
      role: 'replica choice',
      mechanism: 'policy: Scheduler, ReplicaChooser',
      state: 'sent and reported load of each replica',
      isControl: false,
      daemon: {
        messagesPerSecond: 0,
        bytesPerSecond: 0,
        core:
          (getWorkedOut(slope) * DAEMON_REQUESTS) /
          (MICROSECONDS_PER_MILLISECOND * MICROSECONDS_PER_MILLISECOND),
        memoryBytes: 0,
      },
      store: NO_STORE_COST,
      slopes: [slope],
      assumptions: ['memory is counted with the load view'],
    };
  },
};
