import { ManualClock } from '@apricotrill/utils';
import fc from 'fast-check';
import { EngineBatch } from './EngineBatch.js';
import type { BatchEvent, EngineJob } from './EngineBatch.js';

const RUNS = Number(process.env.FUZZ_RUNS ?? 200);

const SLOTS = 3;

const DRAIN_TIME_MS = 1_000_000;

/** The expected state and progress of a request. */
interface ExpectedJob {
  job: EngineJob;
  state: 'waiting' | 'running' | 'finished' | 'cancelled';
  nextIndex: number;
  /** The index of the token on which the owner cancels the request. */
  cancelAt: number | undefined;
}

/** Checks the events of the batch and fails on the first unexpected one. */
class Oracle {
  readonly jobs = new Map<string, ExpectedJob>();

  isPaused = false;

  constructor(private readonly cancelJob: (id: string) => void) {}

  submit(job: EngineJob, cancelAt: number | undefined): void {
    this.jobs.set(job.id, { job, state: 'waiting', nextIndex: job.startIndex, cancelAt });
  }

  cancel(id: string): void {
    const expected = this.jobs.get(id)!;
    if (expected.state !== 'finished') {
      expected.state = 'cancelled';
    }
  }

  handle(event: BatchEvent): void {
    if (event.kind === 'cache') {
      return;
    }
    expect(this.isPaused).toBe(false);
    const expected = this.jobs.get(event.id)!;
    if (event.kind === 'started') {
      this.checkStart(expected);
      expected.state = 'running';
    } else if (event.kind === 'token') {
      this.checkToken(expected, event.index);
    } else {
      expect(expected.state).toBe('running');
      expect(expected.nextIndex).toBe(Math.max(expected.job.startIndex, expected.job.outputTokens));
      expected.state = 'finished';
    }
  }

  count(state: ExpectedJob['state']): number {
    return [...this.jobs.values()].filter((expected) => expected.state === state).length;
  }

  private checkToken(expected: ExpectedJob, index: number): void {
    expect(expected.state).toBe('running');
    expect(index).toBe(expected.nextIndex);
    Object.assign(expected, { nextIndex: index + 1 });
    if (index === expected.cancelAt) {
      this.cancel(expected.job.id);
      this.cancelJob(expected.job.id);
    }
  }

  private checkStart({ job, state }: ExpectedJob): void {
    expect(state).toBe('waiting');
    expect(this.count('running')).toBeLessThan(SLOTS);
    const waiting = [...this.jobs.values()].filter((other) => other.state === 'waiting');
    const most = Math.min(...waiting.map((other) => other.job.priority));
    expect(job.priority).toBe(most);
    const first = waiting.find((other) => other.job.priority === most)!;
    expect(job.id).toBe(first.job.id);
  }
}

interface Real {
  batch: EngineBatch;
  clock: ManualClock;
}

interface SubmitParts extends Pick<EngineJob, 'priority' | 'startIndex' | 'outputTokens'> {
  cancelAt: number | undefined;
}

type BatchCommand = fc.Command<Oracle, Real>;

function checkLoad(oracle: Oracle, { batch }: Real): void {
  const running = oracle.count('running');
  expect(batch.getLoad()).toEqual({ running, waiting: oracle.count('waiting') });
}

function createCommand(name: string, run: (oracle: Oracle, real: Real) => void): BatchCommand {
  const runAndCheck = (oracle: Oracle, real: Real) => {
    run(oracle, real);
    checkLoad(oracle, real);
  };
  return { check: () => true, run: runAndCheck, toString: () => name };
}

function createSubmit({ cancelAt, ...parts }: SubmitParts): BatchCommand {
  return createCommand(`submit ${JSON.stringify(parts)}`, (oracle, { batch }) => {
    const id = String(oracle.jobs.size);
    const job = { ...parts, id, blocks: [1, 2, oracle.jobs.size], promptTokens: 50 };
    oracle.submit(job, cancelAt);
    batch.submit(job);
  });
}

function createCancel(pick: number): BatchCommand {
  return createCommand(`cancel ${pick}`, (oracle, { batch }) => {
    if (oracle.jobs.size > 0) {
      const id = String(pick % oracle.jobs.size);
      oracle.cancel(id);
      batch.cancel(id);
    }
  });
}

function createPause(isPaused: boolean): BatchCommand {
  return createCommand(isPaused ? 'pause' : 'resume', (oracle, { batch }) => {
    Object.assign(oracle, { isPaused });
    if (isPaused) {
      batch.pause();
    } else {
      batch.resume();
    }
  });
}

const commands = fc.commands(
  [
    fc
      .record({
        priority: fc.nat({ max: 5 }),
        startIndex: fc.nat({ max: 4 }),
        outputTokens: fc.integer({ min: 1, max: 12 }),
        cancelAt: fc.option(fc.nat({ max: 12 }), { nil: undefined }),
      })
      .map(createSubmit),
    fc.nat({ max: 20 }).map(createCancel),
    fc
      .integer({ min: 1, max: 200 })
      .map((span) => createCommand(`advance ${span}`, (_oracle, { clock }) => clock.advance(span))),
    fc.boolean().map(createPause),
  ],
  { maxCommands: 80 },
);

describe('EngineBatch compared with a model', () => {
  it('generates the tokens of each request once and in order, by priority, within its slots', () => {
    const run = (steps: Iterable<BatchCommand>) => {
      const clock = new ManualClock();
      let handle: (event: BatchEvent) => void = () => {};
      const emit = (event: BatchEvent) => handle(event);
      const batch = new EngineBatch({ clock, options: { slots: SLOTS }, emit });
      const oracle = new Oracle((id) => batch.cancel(id));
      handle = (event) => oracle.handle(event);
      fc.modelRun(() => ({ model: oracle, real: { batch, clock } }), steps);
      oracle.isPaused = false;
      batch.resume();
      clock.advance(DRAIN_TIME_MS);
      expect(oracle.count('waiting') + oracle.count('running')).toBe(0);
    };
    fc.assert(fc.property(commands, run), { seed: 1, numRuns: RUNS });
  });
});
