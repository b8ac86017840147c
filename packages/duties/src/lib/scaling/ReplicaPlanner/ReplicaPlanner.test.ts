import type { ScalingLimits, ServiceDemand, ZoneSupply } from '../scalingTypes.js';
import { OrderReason, ReplicaPlanner } from './ReplicaPlanner.js';
import type { PlannedOrder } from './ReplicaPlanner.js';

const ZONES = ['a', 'b', 'c', 'd'];

const limits: ScalingLimits = {
  leastPerZone: 1,
  mostPerZone: 7,
  bootTime: 4_000,
  preemptiblePrice: 0.18,
  zonePrices: { a: 1, b: 0.8, c: 1.25, d: 0.9 },
};

const IDLE: ServiceDemand = { service: 'llm', tokensPerSecond: 0, running: 0 };

const READ_RATE = 40;

/** A platform that carries out orders after the boot time. */
class OrderedFleet {
  readonly planner = new ReplicaPlanner('llm');

  readonly supply = new Map<string, ZoneSupply>();

  readonly orders: PlannedOrder[] = [];

  now = 0;

  private readonly booting: { at: number; order: PlannedOrder }[] = [];

  constructor(
    onDemand: number,
    private readonly bounds = limits,
  ) {
    Object.keys(bounds.zonePrices).forEach((zone) =>
      this.supply.set(zone, { onDemand, preemptible: 0 }),
    );
  }

  run(span: number, demand: ServiceDemand): void {
    const end = this.now + span;
    while (this.now < end) {
      this.now += 500;
      this.carryOut();
      const { bounds, now, supply } = this;
      const situation = { limits: bounds, supply, demand, readRate: READ_RATE, now };
      this.planner.plan(situation).forEach((order) => {
        this.planner.noteOrdered(order, now);
        this.orders.push(order);
        const delay = order.count > order.running ? bounds.bootTime : 0;
        this.booting.push({ at: now + delay, order });
      });
    }
  }

  /** All preemptible replicas of a zone are taken away. */
  reclaim(zone: string): void {
    this.supply.get(zone)!.preemptible = 0;
  }

  sum(sort: keyof ZoneSupply): number {
    return [...this.supply.values()].reduce((total, zone) => total + zone[sort], 0);
  }

  private carryOut(): void {
    this.booting.splice(0).forEach((one) => {
      if (one.at > this.now) {
        this.booting.push(one);
        return;
      }
      const { availabilityZone, count, isPreemptible } = one.order;
      this.supply.get(availabilityZone)![isPreemptible ? 'preemptible' : 'onDemand'] = count;
    });
  }
}

describe('ReplicaPlanner', () => {
  it('replaces replicas on demand by preemptible ones, and never has fewer meanwhile', () => {
    const fleet = new OrderedFleet(4);
    for (let second = 0; second < 20; second += 1) {
      fleet.run(1_000, IDLE);
      expect(fleet.sum('onDemand') + fleet.sum('preemptible')).toBeGreaterThanOrEqual(16);
    }
    expect(fleet.sum('onDemand')).toBe(0);
    expect(fleet.sum('preemptible')).toBe(28);
    ZONES.forEach((zone) => expect(fleet.supply.get(zone)!.preemptible).toBe(7));
  });

  it('keeps within the bounds of each zone, both sorts together', () => {
    const fleet = new OrderedFleet(7);
    const demand = { service: 'llm', tokensPerSecond: 2_000_000, running: 300 };
    for (let second = 0; second < 60; second += 1) {
      fleet.run(1_000, demand);
      fleet.supply.forEach(({ onDemand, preemptible }) =>
        expect(onDemand + preemptible).toBeLessThanOrEqual(7),
      );
    }
    expect(fleet.sum('preemptible')).toBe(28);
  });

  // Guards against a zone whose preemptible replicas are all taken away while none can be had.
  it('keeps what serves all requests when a zone is reclaimed', () => {
    const fleet = new OrderedFleet(4);
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

  // Guards against an earlier order that the platform carries out after a later one.
  it('orders again what the list does not show', () => {
    const fleet = new OrderedFleet(4);
    fleet.run(20_000, IDLE);
    fleet.supply.get('a')!.preemptible = 9;
    const orders = fleet.orders.length;
    fleet.run(3_000, IDLE);
    expect(fleet.orders.slice(orders)).toMatchObject([{ availabilityZone: 'a', count: 7 }]);
  });

  it('orders nothing twice while a steady demand swings by a quarter', () => {
    const fleet = new OrderedFleet(4);
    const swing = (turn: number) => ({
      service: 'llm',
      tokensPerSecond: 120_000 * (1 + 0.25 * Math.sin(turn / 4)),
      running: 40,
    });
    for (let turn = 0; turn < 60; turn += 1) {
      fleet.run(1_000, swing(turn));
    }
    const orders = fleet.orders.length;
    for (let turn = 60; turn < 120; turn += 1) {
      fleet.run(1_000, swing(turn));
    }
    expect(fleet.orders.length - orders).toBe(0);
  });

  it('uses replicas on demand where there are no preemptible ones', () => {
    const fleet = new OrderedFleet(2, { ...limits, preemptiblePrice: undefined });
    fleet.run(40_000, { service: 'llm', tokensPerSecond: 200_000, running: 80 });
    expect(fleet.sum('preemptible')).toBe(0);
    expect(fleet.sum('onDemand')).toBeGreaterThan(8);
  });
});
