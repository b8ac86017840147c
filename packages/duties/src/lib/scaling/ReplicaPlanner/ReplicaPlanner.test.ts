import type { ScalingLimits, ServiceDemand, ZoneSupply } from '../scalingTypes.js';
import { OrderReason, ReplicaPlanner } from './ReplicaPlanner.js';
import type { PlannedOrder } from './ReplicaPlanner.js';

const ZONES = ['a', 'b', 'c', 'd'];

const limits: ScalingLimits = {
  minPerZone: 1,
  maxPerZone: 7,
  bootTime: 4_000,
  preemptiblePrice: 0.18,
  zonePrices: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
};

const IDLE: ServiceDemand = { service: 'llm', tokensPerSecond: 0, running: 0 };

const READ_RATE = 40;

/** Simulates a platform that executes orders for more replicas after the boot time. */
class FleetSimulation {
  readonly planner = new ReplicaPlanner('llm');

  readonly supply = new Map<string, ZoneSupply>();

  readonly orders: PlannedOrder[] = [];

  now = 0;

  private readonly pendingOrders: { at: number; order: PlannedOrder }[] = [];

  constructor(
    onDemand: number,
    private readonly bounds = limits,
  ) {
    Object.keys(bounds.zonePrices).forEach((zone) =>
      this.supply.set(zone, { onDemand, preemptible: 0 }),
    );
  }

  run(duration: number, demand: ServiceDemand): void {
    const end = this.now + duration;
    while (this.now < end) {
      this.now += 500;
      this.executeDueOrders();
      const { bounds, now, supply } = this;
      const input = { limits: bounds, supply, demand, readRate: READ_RATE, now };
      this.planner.plan(input).forEach((order) => {
        this.planner.recordOrder(order, now);
        this.orders.push(order);
        const delay = order.count > order.running ? bounds.bootTime : 0;
        this.pendingOrders.push({ at: now + delay, order });
      });
    }
  }

  /** Removes all preemptible replicas of a zone. */
  reclaim(zone: string): void {
    this.supply.get(zone)!.preemptible = 0;
  }

  sum(replicaType: keyof ZoneSupply): number {
    return [...this.supply.values()].reduce((total, zone) => total + zone[replicaType], 0);
  }

  private executeDueOrders(): void {
    this.pendingOrders.splice(0).forEach((pending) => {
      if (pending.at > this.now) {
        this.pendingOrders.push(pending);
        return;
      }
      const { availabilityZone, count, isPreemptible } = pending.order;
      this.supply.get(availabilityZone)![isPreemptible ? 'preemptible' : 'onDemand'] = count;
    });
  }
}

describe('ReplicaPlanner', () => {
  it('replaces on-demand replicas with preemptible ones without ever having fewer', () => {
    const fleet = new FleetSimulation(4);
    for (let second = 0; second < 20; second += 1) {
      fleet.run(1_000, IDLE);
      expect(fleet.sum('onDemand') + fleet.sum('preemptible')).toBeGreaterThanOrEqual(16);
    }
    expect(fleet.sum('onDemand')).toBe(0);
    expect(fleet.sum('preemptible')).toBe(28);
    ZONES.forEach((zone) => expect(fleet.supply.get(zone)!.preemptible).toBe(7));
  });

  it('keeps both replica types together within the limits of each zone', () => {
    const fleet = new FleetSimulation(7);
    const demand = { service: 'llm', tokensPerSecond: 2_000_000, running: 300 };
    for (let second = 0; second < 60; second += 1) {
      fleet.run(1_000, demand);
      fleet.supply.forEach(({ onDemand, preemptible }) =>
        expect(onDemand + preemptible).toBeLessThanOrEqual(7),
      );
    }
    expect(fleet.sum('preemptible')).toBe(28);
  });

  // Guards against the loss of all preemptible replicas of a zone while no others are available.
  it('keeps enough replicas to serve all requests when a zone is reclaimed', () => {
    const fleet = new FleetSimulation(4);
    const demand = { service: 'llm', tokensPerSecond: 150_000, running: 60 };
    fleet.run(30_000, demand);
    const before = fleet.sum('preemptible');
    fleet.reclaim('b');
    expect(fleet.sum('preemptible')).toBeGreaterThanOrEqual((before * 2) / 3);
    fleet.run(1_000, demand);
    expect(fleet.orders.at(-1)).toMatchObject({
      availabilityZone: 'b',
      isPreemptible: true,
      reason: OrderReason.Lost,
    });
  });

  // Guards against a platform that executes an earlier order after a later one.
  it('repeats an order that the list does not show', () => {
    const fleet = new FleetSimulation(4);
    fleet.run(20_000, IDLE);
    fleet.supply.get('a')!.preemptible = 9;
    const orders = fleet.orders.length;
    fleet.run(3_000, IDLE);
    expect(fleet.orders.slice(orders)).toMatchObject([{ availabilityZone: 'a', count: 7 }]);
  });

  it('sends no orders while the demand fluctuates by a quarter', () => {
    const fleet = new FleetSimulation(4);
    const getDemand = (second: number) => ({
      service: 'llm',
      tokensPerSecond: 120_000 * (1 + 0.25 * Math.sin(second / 4)),
      running: 40,
    });
    for (let second = 0; second < 60; second += 1) {
      fleet.run(1_000, getDemand(second));
    }
    const orders = fleet.orders.length;
    for (let second = 60; second < 120; second += 1) {
      fleet.run(1_000, getDemand(second));
    }
    expect(fleet.orders.length - orders).toBe(0);
  });

  it('uses on-demand replicas for a service without preemptible ones', () => {
    const fleet = new FleetSimulation(2, { ...limits, preemptiblePrice: undefined });
    fleet.run(40_000, { service: 'llm', tokensPerSecond: 200_000, running: 80 });
    expect(fleet.sum('preemptible')).toBe(0);
    expect(fleet.sum('onDemand')).toBeGreaterThan(8);
  });
});
