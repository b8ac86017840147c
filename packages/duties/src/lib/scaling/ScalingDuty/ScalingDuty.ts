import type { LeaseManager } from '@apricotrill/lease';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { CallResult } from '../../DutyPlatform.js';
import type { DutyPlatform, ReplicaOrder } from '../../DutyPlatform.js';
import type { DutyLog } from '../../DutyEvent.js';
import type { DutyOptions } from '../../dutyOptions.js';
import type { DemandMeter } from '../DemandMeter/DemandMeter.js';
import { ReplicaPlanner } from '../ReplicaPlanner/ReplicaPlanner.js';
import type { PlannedOrder } from '../ReplicaPlanner/ReplicaPlanner.js';
import type { ZoneMap, ScalingLimits, ZoneSupply } from '../scalingTypes.js';

/** The current state of a service whose replicas can be ordered. */
export interface ScalableService {
  service: string;
  limits: ScalingLimits;
  /** By availability zone. */
  supply: ZoneMap<ZoneSupply>;
  /** Prompt tokens that one engine prefills per millisecond. */
  readRate: number;
}

export interface ScalingDutySettings {
  self: string;
  clock: Clock;
  lease: LeaseManager;
  platform: DutyPlatform;
  demand: DemandMeter;
  getServices: () => readonly ScalableService[];
  options: DutyOptions;
  log: DutyLog;
}

/**
 * Orders replicas while this daemon holds the lease.
 *
 * @internal
 */
export class ScalingDuty {
  private planners = new Map<string, ReplicaPlanner>();

  constructor(private readonly settings: ScalingDutySettings) {}

  /** Restarts planning from the listed replicas: another holder may have sent orders since. */
  reset(): void {
    this.planners = new Map();
  }

  /** The last order for each service, zone and replica type, shown to operators. */
  readonly lastOrders = new Map<string, PlannedOrder>();

  /**
   * Sends the orders that are due.
   *
   * @returns the time until the next step
   * @throws StepError when the platform did not respond
   */
  async runStep(): Promise<Milliseconds> {
    const { clock, demand, getServices, options } = this.settings;
    for (const { service, limits, supply, readRate } of getServices()) {
      const planner = this.getPlanner(service);
      const now = clock.now();
      const input = { limits, supply, readRate, now, demand: demand.getDemand(service, now) };
      for (const order of planner.plan(input)) {
        // A holder sends its orders one at a time, so that none overtakes another.
        // eslint-disable-next-line no-await-in-loop
        await this.sendOrder(planner, order);
      }
    }
    return options.planInterval;
  }

  private getPlanner(service: string): ReplicaPlanner {
    const planner = this.planners.get(service) ?? new ReplicaPlanner(service);
    this.planners.set(service, planner);
    return planner;
  }

  private async sendOrder(planner: ReplicaPlanner, planned: PlannedOrder): Promise<void> {
    const { clock, lease, log, platform, self } = this.settings;
    const fencingNumber = lease.getFencingNumber();
    if (fencingNumber === undefined) {
      return;
    }
    const { service, availabilityZone, count, isPreemptible, reason, wanted, running } = planned;
    const order: ReplicaOrder = { service, availabilityZone, count, isPreemptible };
    planner.recordOrder(order, clock.now());
    log({ event: 'replicas-ordered', ...order, running, reason, wanted, fencingNumber });
    this.lastOrders.set(`${service} ${availabilityZone} ${String(isPreemptible)}`, planned);
    const result = await platform.orderReplicas(order, { holder: self, fencingNumber });
    if (result !== CallResult.Accepted) {
      const call = `order ${count} of ${service} in ${availabilityZone}`;
      log({ event: 'duty-failed', call, result, fencingNumber });
    }
    if (result === CallResult.Conflict) {
      // The platform sends the same response for a stale fencing number and for unavailable
      // replicas. In both cases the lease requests a new number and never uses the old one again.
      lease.reportFenced(fencingNumber + 1);
    }
  }
}
