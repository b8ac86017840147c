import * as fc from 'fast-check';
import PQueue from 'p-queue';
import { ClassFairQueue } from './ClassFairQueue.js';
import type { LaneGate } from './ClassFairQueue.js';
import type { QueuePlace } from './QueuePlace.js';

const RUNS = { numRuns: Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 200), seed: 20_260_402 };

const OPTIONS = { minFloor: 0.01, maxFloorSum: 0.5 };

const open: LaneGate = () => true;

interface Waiting extends Partial<Omit<QueuePlace, 'serviceClass'>> {
  id: string;
  tier?: number;
  floor?: number;
  className?: string;
}

/** A queue whose tasks note what was served. */
class Line {
  readonly queue = new ClassFairQueue(OPTIONS);

  readonly served: string[] = [];

  add({ tier = 2, floor = 0, className = `tier-${tier}`, ...place }: Waiting): void {
    const serviceClass = { name: className, tier, floor };
    const rest = { workspace: 'painotalo', weight: 1, pool: '', ...place };
    this.queue.enqueue(async () => this.served.push(place.id), { ...rest, serviceClass });
  }

  serve(gate: LaneGate = open): string | undefined {
    if (!this.queue.select(gate)) {
      return undefined;
    }
    this.queue.dequeue()!();
    return this.served.at(-1);
  }

  serveAll(): string[] {
    while (this.serve() !== undefined);
    return this.served;
  }
}

describe('ClassFairQueue', () => {
  it('serves the most urgent tier first, and one workspace in order of arrival', () => {
    const line = new Line();
    line.add({ id: 'draft', tier: 5 });
    line.add({ id: 'first', tier: 0 });
    line.add({ id: 'second', tier: 0 });
    expect(line.serveAll()).toEqual(['first', 'second', 'draft']);
  });

  it('shares a tier among workspaces by weight, whoever came first', () => {
    // Symptom: one print shop's hundred quotes make all others wait. Sequence: it sends them at
    // once, then two others send theirs. Cause: a tier served in order of arrival.
    const line = new Line();
    for (let index = 0; index < 100; index += 1) {
      line.add({ id: `flood-${index}`, workspace: 'flood' });
    }
    for (let index = 0; index < 20; index += 1) {
      line.add({ id: `light-${index}`, workspace: 'light' });
      line.add({ id: `heavy-${index}`, workspace: 'heavy', weight: 2 });
    }
    const first = Array.from({ length: 40 }, () => line.serve()!.split('-')[0]!);
    const count = (name: string) => first.filter((each) => each === name).length;
    expect([count('flood'), count('light'), count('heavy')]).toEqual([10, 10, 20]);
  });

  it('does not let one pool without room hold up another, nor lose what leaves', () => {
    const line = new Line();
    line.add({ id: 'stuck', pool: 'laaja' });
    line.add({ id: 'left', pool: 'nopea' });
    line.add({ id: 'free', pool: 'nopea' });
    line.queue.remove('left');
    const gate: LaneGate = ({ pool }) => pool === 'nopea';
    expect([line.serve(gate), line.serve(gate), line.queue.size]).toEqual(['free', undefined, 1]);
    expect(line.serve()).toBe('stuck');
  });

  it('serves what was dispatched before ahead of its lane and charges it once', () => {
    const line = new Line();
    line.add({ id: 'fresh', workspace: 'offset' });
    line.add({ id: 'resumed', resumed: true });
    line.add({ id: 'next' });
    expect(line.serveAll()).toEqual(['resumed', 'fresh', 'next']);
  });

  it('has the newest of the workspace with most give way, in the least urgent tier', () => {
    // Symptom: a full queue refuses a gate check while lease summaries keep their places. Cause:
    // the newcomer is refused, whoever it is.
    const line = new Line();
    ['a', 'b', 'c'].forEach((id) => line.add({ id, tier: 4, workspace: 'large' }));
    line.add({ id: 'd', tier: 4, workspace: 'small' });
    line.add({ id: 'resumed', tier: 5, resumed: true });
    const serviceClass = { name: 'tier-4', tier: 4, floor: 0 };
    const place = { id: 'x', pool: '', weight: 1, serviceClass };
    expect(line.queue.evictFor({ ...place, workspace: 'small' })).toBe('c');
    expect(line.queue.evictFor({ ...place, workspace: 'large' })).toBeUndefined();
    const urgent = { ...serviceClass, name: 'tier-0', tier: 0 };
    expect(line.queue.evictFor({ ...place, workspace: 'x', serviceClass: urgent })).toBe('b');
    expect(line.queue.size).toBe(3);
  });

  it('has nothing urgent give way to a newcomer whose own class is full', () => {
    const line = new Line();
    line.add({ id: 'resumed', tier: 4, resumed: true });
    line.add({ id: 'gate', tier: 0 });
    const serviceClass = { name: 'tier-4', tier: 4, floor: 0 };
    const newcomer = { id: 'x', pool: '', weight: 1, workspace: 'x', serviceClass };
    expect(line.queue.evictFor(newcomer)).toBeUndefined();
  });

  it('lets a class without room save up no more than one turn', () => {
    // Symptom: gate checks wait for five drafts in a row. Sequence: the drafts' replicas are full
    // for a minute, then get free together. Cause: the floor was earned all that time.
    const line = new Line();
    for (let index = 0; index < 60; index += 1) {
      line.add({ id: `gate-${index}`, tier: 0 });
      line.add({ id: `draft-${index}`, tier: 5, floor: 0.2, pool: 'laaja' });
    }
    for (let index = 0; index < 40; index += 1) {
      line.serve(({ pool }) => pool !== 'laaja');
    }
    const next = Array.from({ length: 4 }, () => line.serve()!.split('-')[0]);
    expect(next).toEqual(['draft', 'gate', 'gate', 'gate']);
  });

  it('works as the queue class of p-queue, with priorities, filters and removal', async () => {
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

describe('the bounds of ClassFairQueue', () => {
  it('delays an urgent request by no more than the floors may take', () => {
    const property = fc.property(lowClasses, fc.nat(12), fc.nat(60), (low, ahead, before) => {
      const line = new Line();
      low.forEach(({ tier, floor }, index) => {
        for (let each = 0; each < 100; each += 1) {
          const className = `low-${index}`;
          line.add({ id: `${className}-${each}`, tier, className, floor: toFloor(floor) });
        }
      });
      for (let index = 0; index < before; index += 1) {
        line.add({ id: `before-${index}`, tier: 0 });
        while (line.serve() !== `before-${index}`);
      }
      for (let index = 0; index <= ahead; index += 1) {
        line.add({ id: `urgent-${index}`, tier: 0 });
      }
      const bound = Math.ceil((ahead + 1 + low.length) / (1 - OPTIONS.maxFloorSum));
      const next = Array.from({ length: bound }, () => line.serve());
      expect(next).toContain(`urgent-${ahead}`);
    });
    fc.assert(property, RUNS);
  });

  it('starves no class, whatever urgent work keeps coming', () => {
    // Symptom: a lease summary is never written. Sequence: gate checks come faster than replicas
    // get free. Cause: the most urgent tier always goes first.
    const property = fc.property(lowClasses, fc.nat(20), (low, pick) => {
      const line = new Line();
      low.forEach(({ tier, floor }, index) => {
        const className = `low-${index}`;
        for (let each = 0; each < 400; each += 1) {
          line.add({ id: `${className}-${each}`, tier, className, floor: toFloor(floor) });
        }
      });
      const floors = low.map(({ floor }) => Math.max(OPTIONS.minFloor, toFloor(floor)));
      const sum = floors.reduce((total, floor) => total + floor, 0);
      const index = pick % low.length;
      const floor = floors[index]! * Math.min(1, OPTIONS.maxFloorSum / sum);
      const bound = Math.ceil(1 / floor - 1e-9) + low.length;
      for (let round = 0; round < 3; round += 1) {
        const next = Array.from({ length: bound }, () => {
          line.add({ id: `urgent-${line.served.length}`, tier: 0 });
          return line.serve();
        });
        expect(next.some((id) => id!.startsWith(`low-${index}-`))).toBe(true);
      }
    });
    fc.assert(property, { ...RUNS, numRuns: Math.ceil(RUNS.numRuns / 4) });
  });
});
