import type { LeaseManager } from '@apricotrill/lease';
import type { Clock, Milliseconds } from '@apricotrill/utils';
import { CallResult } from '../../DutyPlatform.js';
import type { DutyPlatform, ReplicaOrder } from '../../DutyPlatform.js';
import type { DutyLog } from '../../DutyEvent.js';
import type { DutyOptions } from '../../dutyOptions.js';
import type { DemandMeter } from '../DemandMeter/DemandMeter.js';
import { ReplicaPlanner } from '../ReplicaPlanner/ReplicaPlanner.js';
import type { PlannedOrder } from '../ReplicaPlanner/ReplicaPlanner.js';
import type { ByZone, ScalingLimits, ZoneSupply } from '../scalingTypes.js';

/** A service whose replicas can be ordered, as it is now. */
export interface ScalableService {
  service: string;
  limits: ScalingLimits;
  /** By availability zone. */
  supply: ByZone<ZoneSupply>;
  /** Prompt tokens that one engine reads in a millisecond. */
  readRate: number;
}

/** What the duty needs. */
export interface ScalingDutyParts {
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

  constructor(private readonly parts: ScalingDutyParts) {}

  /** Another holder may have ordered since: planning begins with what is listed. */
  reset(): void {
    this.planners = new Map();
  }

  /** The last order of each sort of replicas, for operators. */
  readonly lastOrders = new Map<string, PlannedOrder>();

  /**
   * Gives the orders that are due.
   *
   * @returns how long until the next look
   * @throws StepError when the platform gave no answer
   */
  async work(): Promise<Milliseconds> {
    const { clock, demand, getServices, options } = this.parts;
    for (const { service, limits, supply, readRate } of getServices()) {
      const planner = this.getPlanner(service);
      const now = clock.now();
      const situation = { limits, supply, readRate, now, demand: demand.getDemand(service, now) };
      for (const order of planner.plan(situation)) {
        // Orders of one holder go out one after the other, so that none overtakes another.
        // eslint-disable-next-line no-await-in-loop
        await this.order(planner, order);
      }
    }
    return options.planPeriod;
  }

  private getPlanner(service: string): ReplicaPlanner {
    const planner = this.planners.get(service) ?? new ReplicaPlanner(service);
    this.planners.set(service, planner);
    return planner;
  }

  private async order(planner: ReplicaPlanner, planned: PlannedOrder): Promise<void> {
    const { clock, lease, log, platform, self } = this.parts;
    const fencingNumber = lease.getFencingNumber();
    if (fencingNumber === undefined) {
      return;
    }
    const { service, availabilityZone, count, isPreemptible, reason, wanted, running } = planned;
    const order: ReplicaOrder = { service, availabilityZone, count, isPreemptible };
    planner.noteOrdered(order, clock.now());
    log({ event: 'replicas-ordered', ...order, running, reason, wanted, fencingNumber });
    this.lastOrders.set(`${service} ${availabilityZone} ${String(isPreemptible)}`, planned);
    const result = await platform.orderReplicas(order, { holder: self, fencingNumber });
    if (result !== CallResult.Accepted) {
      const call = `order ${count} of ${service} in ${availabilityZone}`;
      log({ event: 'duty-failed', call, result, fencingNumber });
    }
    if (result === CallResult.Conflict) {
      // The answer is the same where a higher number was seen and where none are available: a fresh
      // number is asked for in either case, and the old one never used again.
      lease.reportFenced(fencingNumber + 1);
    }
  }
}
