import * as fc from 'fast-check';
import PQueue from 'p-queue';
import { ClassFairQueue } from './ClassFairQueue.js';
import type { LaneGate } from './ClassFairQueue.js';
import type { QueuePlace } from './QueuePlace.js';

const PROPERTY_OPTIONS = {
  numRuns: Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 200),
  seed: 20_260_402,
};

const OPTIONS = { minFloor: 0.01, maxFloorSum: 0.5 };

const allowAll: LaneGate = () => true;

interface WaitingRequest extends Partial<Omit<QueuePlace, 'serviceClass'>> {
  id: string;
  tier?: number;
  floor?: number;
  className?: string;
}

/** A queue whose tasks record the order of service. */
class FairQueueHarness {
  readonly queue = new ClassFairQueue(OPTIONS);

  readonly served: string[] = [];

  add({ tier = 2, floor = 0, className = `tier-${tier}`, ...place }: WaitingRequest): void {
    const serviceClass = { name: className, tier, floor };
    const rest = { workspace: 'painotalo', weight: 1, pool: '', ...place };
    this.queue.enqueue(async () => this.served.push(place.id), { ...rest, serviceClass });
  }

  serveNext(gate: LaneGate = allowAll): string | undefined {
    if (!this.queue.select(gate)) {
      return undefined;
    }
    this.queue.dequeue()!();
    return this.served.at(-1);
  }

  serveAll(): string[] {
    while (this.serveNext() !== undefined);
    return this.served;
  }
}

describe('ClassFairQueue', () => {
  it('serves the most urgent tier first and requests of one workspace in order of arrival', () => {
    const harness = new FairQueueHarness();
    harness.add({ id: 'draft', tier: 5 });
    harness.add({ id: 'first', tier: 0 });
    harness.add({ id: 'second', tier: 0 });
    expect(harness.serveAll()).toEqual(['first', 'second', 'draft']);
  });

  it('shares a tier among workspaces by weight, regardless of arrival order', () => {
    // Guards against serving a tier in order of arrival: one workspace sends a hundred requests at
    // once, and those that two other workspaces send afterwards would wait for all of them.
    const harness = new FairQueueHarness();
    for (let index = 0; index < 100; index += 1) {
      harness.add({ id: `flood-${index}`, workspace: 'flood' });
    }
    for (let index = 0; index < 20; index += 1) {
      harness.add({ id: `light-${index}`, workspace: 'light' });
      harness.add({ id: `heavy-${index}`, workspace: 'heavy', weight: 2 });
    }
    const first = Array.from({ length: 40 }, () => harness.serveNext()!.split('-')[0]!);
    const count = (name: string) => first.filter((each) => each === name).length;
    expect([count('flood'), count('light'), count('heavy')]).toEqual([10, 10, 20]);
  });

  it('serves a pool with room while another is full, and skips removed requests', () => {
    const harness = new FairQueueHarness();
    harness.add({ id: 'stuck', pool: 'laaja' });
    harness.add({ id: 'left', pool: 'nopea' });
    harness.add({ id: 'free', pool: 'nopea' });
    harness.queue.remove('left');
    const gate: LaneGate = ({ pool }) => pool === 'nopea';
    expect([harness.serveNext(gate), harness.serveNext(gate), harness.queue.size]).toEqual([
      'free',
      undefined,
      1,
    ]);
    expect(harness.serveNext()).toBe('stuck');
  });

  it('serves resumed requests ahead of their lane and charges them once', () => {
    const harness = new FairQueueHarness();
    harness.add({ id: 'fresh', workspace: 'offset' });
    harness.add({ id: 'resumed', resumed: true });
    harness.add({ id: 'next' });
    expect(harness.serveAll()).toEqual(['resumed', 'fresh', 'next']);
  });

  it('evicts the newest request of the largest backlog in the least urgent tier', () => {
    // Guards against a full queue refusing every new request: an urgent one would be refused while
    // requests of less urgent tiers keep their places.
    const harness = new FairQueueHarness();
    ['a', 'b', 'c'].forEach((id) => harness.add({ id, tier: 4, workspace: 'large' }));
    harness.add({ id: 'd', tier: 4, workspace: 'small' });
    harness.add({ id: 'resumed', tier: 5, resumed: true });
    const serviceClass = { name: 'tier-4', tier: 4, floor: 0 };
    const place = { id: 'x', pool: '', weight: 1, serviceClass };
    expect(harness.queue.evictFor({ ...place, workspace: 'small' })).toBe('c');
    expect(harness.queue.evictFor({ ...place, workspace: 'large' })).toBeUndefined();
    const urgent = { ...serviceClass, name: 'tier-0', tier: 0 };
    expect(harness.queue.evictFor({ ...place, workspace: 'x', serviceClass: urgent })).toBe('b');
    expect(harness.queue.size).toBe(3);
  });

  it('evicts no urgent request for a new one whose own class is full', () => {
    const harness = new FairQueueHarness();
    harness.add({ id: 'resumed', tier: 4, resumed: true });
    harness.add({ id: 'gate', tier: 0 });
    const serviceClass = { name: 'tier-4', tier: 4, floor: 0 };
    const newRequest = { id: 'x', pool: '', weight: 1, workspace: 'x', serviceClass };
    expect(harness.queue.evictFor(newRequest)).toBeUndefined();
  });

  it('lets a class without room accumulate at most one credit', () => {
    // Guards against unbounded credit: the replicas of a less urgent class are full for a minute
    // and become free together, and an urgent request waits for five of that class in a row.
    const harness = new FairQueueHarness();
    for (let index = 0; index < 60; index += 1) {
      harness.add({ id: `gate-${index}`, tier: 0 });
      harness.add({ id: `draft-${index}`, tier: 5, floor: 0.2, pool: 'laaja' });
    }
    for (let index = 0; index < 40; index += 1) {
      harness.serveNext(({ pool }) => pool !== 'laaja');
    }
    const next = Array.from({ length: 4 }, () => harness.serveNext()!.split('-')[0]);
    expect(next).toEqual(['draft', 'gate', 'gate', 'gate']);
  });

  it('works as the queue class of p-queue with priorities, filters and removal', async () => {
    const fair = new ClassFairQueue(OPTIONS);
    function create() {
      return fair;
    }
    const queueClass = create as unknown as new () => ClassFairQueue;
    const queue = new PQueue<ClassFairQueue, QueuePlace>({ queueClass, concurrency: 1 });
    const served: string[] = [];
    const add = (id: string, tier: number) =>
      queue.add(async () => served.push(id), {
        id,
        serviceClass: { name: `tier-${tier}`, tier, floor: 0 },
        workspace: id,
        weight: 1,
        pool: '',
      });
    queue.pause();
    add('draft', 5);
    add('left', 2);
    add('chat', 2);
    add('raised', 5);
    queue.setPriority('raised', -1);
    fair.remove('left');
    expect([queue.size, queue.sizeBy({ priority: -5 })]).toEqual([3, 1]);
    queue.start();
    await queue.onIdle();
    expect(served).toEqual(['raised', 'chat', 'draft']);
  });
});

const lowClasses = fc.array(
  fc.record({ tier: fc.integer({ min: 1, max: 5 }), floor: fc.nat(20) }),
  {
    minLength: 1,
    maxLength: 6,
  },
);

const toFloor = (percent: number) => percent / 100;

describe('bounds of ClassFairQueue', () => {
  it('delays an urgent request by no more than the share of the floors', () => {
    const property = fc.property(lowClasses, fc.nat(12), fc.nat(60), (low, ahead, before) => {
      const harness = new FairQueueHarness();
      low.forEach(({ tier, floor }, index) => {
        for (let each = 0; each < 100; each += 1) {
          const className = `low-${index}`;
          harness.add({ id: `${className}-${each}`, tier, className, floor: toFloor(floor) });
        }
      });
      for (let index = 0; index < before; index += 1) {
        harness.add({ id: `before-${index}`, tier: 0 });
        while (harness.serveNext() !== `before-${index}`);
      }
      for (let index = 0; index <= ahead; index += 1) {
        harness.add({ id: `urgent-${index}`, tier: 0 });
      }
      const bound = Math.ceil((ahead + 1 + low.length) / (1 - OPTIONS.maxFloorSum));
      const next = Array.from({ length: bound }, () => harness.serveNext());
      expect(next).toContain(`urgent-${ahead}`);
    });
    fc.assert(property, PROPERTY_OPTIONS);
  });

  it('starves no class while urgent requests keep arriving', () => {
    // Guards against strict priority: urgent requests arrive faster than replicas become free, and
    // a less urgent class is never served.
    const property = fc.property(lowClasses, fc.nat(20), (low, pick) => {
      const harness = new FairQueueHarness();
      low.forEach(({ tier, floor }, index) => {
        const className = `low-${index}`;
        for (let each = 0; each < 400; each += 1) {
          harness.add({ id: `${className}-${each}`, tier, className, floor: toFloor(floor) });
        }
      });
      const floors = low.map(({ floor }) => Math.max(OPTIONS.minFloor, toFloor(floor)));
      const sum = floors.reduce((total, floor) => total + floor, 0);
      const index = pick % low.length;
      const floor = floors[index]! * Math.min(1, OPTIONS.maxFloorSum / sum);
      const bound = Math.ceil(1 / floor - 1e-9) + low.length;
      for (let round = 0; round < 3; round += 1) {
        const next = Array.from({ length: bound }, () => {
          harness.add({ id: `urgent-${harness.served.length}`, tier: 0 });
          return harness.serveNext();
        });
        expect(next.some((id) => id!.startsWith(`low-${index}-`))).toBe(true);
      }
    });
    fc.assert(property, { ...PROPERTY_OPTIONS, numRuns: Math.ceil(PROPERTY_OPTIONS.numRuns / 4) });
  });
});
