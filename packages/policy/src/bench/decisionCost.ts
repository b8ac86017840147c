import type { Replica, ServiceClass } from '@apricotrill/model';
import { createRandom, SystemClock } from '@apricotrill/utils';
import { AttemptEnd } from '../lib/messages.js';
import type { ScheduledRequest, SchedulerEffect } from '../lib/messages.js';
import { Scheduler } from '../lib/Scheduler/Scheduler.js';

/**
 * Measures what one request costs the scheduler, from its arrival over the choice of a replica to
 * its end, in processor time, with a queue that never empties. Run it with `node packages/policy/dist/bench/decisionCost.js`.
 */

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;

interface Size {
  replicas: number;
  workspaces: number;
  daemons: number;
  slots?: number;
}

const SERVICE = 'kielimalli';

const WAITING = 2000;

const WARM_UP = 4000;

const CYCLES = 20_000;

const RUNS = 5;

/** Cycles between two pauses in which promises settle, as they would between two messages. */
const CYCLES_PER_PAUSE = 10;

/** The two-year target has 1,800 daemons before 6,900 replicas; today there are 9. */
const DAEMONS_BY_REPLICAS: Record<number, number> = { 10: 9, 100: 26, 1000: 261, 6900: 1800 };

const classes: ServiceClass[] = [0, 2, 3, 5].map((tier) => ({
  name: `tier-${tier}`,
  tier,
  target: { firstToken: 1500, tokenGap: 55 },
  deadline: 600_000,
  floor: 0.05,
  preemptible: tier > 1,
  repeatable: true,
}));

function createReplicas({ replicas: count, slots = 16 }: Size): Replica[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `replica-${index}`,
    service: SERVICE,
    availabilityZone: `zone-${index % 16}`,
    host: '127.0.0.1',
    port: 9000,
    slots,
    checksFencing: true,
    placement: ['laaja@1'],
  }));
}

/** A scheduler, what it has dispatched, and an endless supply of requests. */
class Load {
  readonly dispatched: Dispatch[] = [];

  private readonly random = createRandom(1);

  private readonly clock = new SystemClock();

  private readonly scheduler: Scheduler;

  private count = 0;

  constructor(private readonly size: Size) {
    this.scheduler = new Scheduler({
      clock: this.clock,
      random: createRandom(2),
      options: { maxWaitingPerClass: WAITING },
      emit: (effect) => {
        if (effect.kind === 'dispatch') {
          this.dispatched.push(effect);
        }
      },
    });
    const daemons = Array.from({ length: size.daemons }, (_, index) => `daemon-${index}`);
    this.scheduler.handle({ kind: 'daemons', self: 'daemon-0', daemons });
    this.scheduler.handle({ kind: 'replicas', replicas: createReplicas(size) });
  }

  fill(): void {
    while (this.scheduler.getSnapshot().waiting < WAITING) {
      for (let index = 0; index < WAITING / 10; index += 1) {
        this.submit();
      }
    }
  }

  /** One request arrives, one answers and ends, and the next is sent. */
  cycle(): void {
    this.submit();
    const index = this.random.integer(this.dispatched.length);
    const { id, attempt } = this.dispatched[index]!;
    this.dispatched[index] = this.dispatched.at(-1)!;
    this.dispatched.pop();
    this.scheduler.handle({ kind: 'progress', id, attempt, tokens: 1 });
    this.scheduler.handle({ kind: 'attempt-ended', id, attempt, end: AttemptEnd.Completed });
  }

  dispose(): void {
    this.scheduler.dispose();
  }

  private submit(): void {
    this.count += 1;
    const request: ScheduledRequest = {
      id: `request-${this.count}`,
      service: SERVICE,
      model: 'laaja',
      workspace: `workspace-${this.random.integer(this.size.workspaces)}`,
      workspaceWeight: 1,
      serviceClass: classes[this.count % classes.length]!,
      prefixHash: this.random.integer(100_000),
      resumable: true,
      arrived: this.clock.now(),
    };
    this.scheduler.handle({ kind: 'submit', request });
  }
}

async function settle(): Promise<void> {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
}

async function runCycles(load: Load, cycles: number): Promise<number> {
  let spent = 0;
  for (let done = 0; done < cycles; done += CYCLES_PER_PAUSE) {
    const start = process.cpuUsage();
    for (let index = 0; index < CYCLES_PER_PAUSE; index += 1) {
      load.cycle();
    }
    // p-queue's promises settle here; their cost belongs to the decision.
    // eslint-disable-next-line no-await-in-loop
    await Promise.resolve();
    const { user, system } = process.cpuUsage(start);
    spent += user + system;
    // eslint-disable-next-line no-await-in-loop
    await settle();
  }
  return spent / cycles;
}

async function measure(size: Size): Promise<number> {
  const load = new Load(size);
  load.fill();
  await runCycles(load, WARM_UP);
  const cost = await runCycles(load, CYCLES);
  load.dispose();
  return cost;
}

async function report(size: Size): Promise<void> {
  const costs: number[] = [];
  for (let run = 0; run < RUNS; run += 1) {
    // eslint-disable-next-line no-await-in-loop
    costs.push(await measure(size));
  }
  costs.sort((left, right) => left - right);
  const [low, median, high] = [costs[0]!, costs[Math.floor(RUNS / 2)]!, costs.at(-1)!];
  const { replicas, workspaces, daemons } = size;
  const cells = [replicas, daemons, workspaces, median.toFixed(1)];
  process.stdout.write(`| ${cells.join(' | ')} | ${low.toFixed(1)}-${high.toFixed(1)} |\n`);
}

process.stdout.write('| replicas | daemons | workspaces | median µs a request | range |\n');
process.stdout.write('| --- | --- | --- | --- | --- |\n');
const sizes: Size[] = [
  ...[10, 100, 1000, 6900].map((replicas) => ({ replicas, workspaces: 1000 })),
  ...[10, 100, 3500].map((workspaces) => ({ replicas: 1000, workspaces })),
  { replicas: 6900, workspaces: 3500 },
].map((size) => ({ ...size, daemons: DAEMONS_BY_REPLICAS[size.replicas]! }));
// One daemon alone before everything: no subset and no share makes its world smaller.
sizes.push({ replicas: 6900, workspaces: 3500, daemons: 1, slots: 1 });
for (const size of sizes) {
  // eslint-disable-next-line no-await-in-loop
  await report(size);
}
