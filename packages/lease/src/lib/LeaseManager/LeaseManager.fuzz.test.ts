import { createRandom } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { LeaseSimulation } from '../../test/LeaseSimulation.js';
import type { HolderAction } from '../../test/Contender.js';
import { defaultLeaseOptions } from '../leaseOptions.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 60);
const SEED = process.env.APRICOTRILL_FUZZ_SEED;

/** Two holders must not act in the order A, B, A within this time. */
const MIN_ALTERNATION_INTERVAL: Milliseconds = 3_000;

const options = {
  ...defaultLeaseOptions,
  duration: 5_000,
  safetyMargin: 1_500,
  renewalInterval: 1_500,
  retryDelay: 400,
  callTimeout: 1_000,
  candidateDelay: 700,
  releaseCooldown: 3_000,
};

/** The faults of a run; `daemon` selects one of the candidates. */
const fault = fc.oneof(
  fc.record({ kind: fc.constant('pause' as const), daemon: fc.nat(), duration: fc.nat(12_000) }),
  fc.record({ kind: fc.constant('suspend' as const), daemon: fc.nat(), duration: fc.nat(12_000) }),
  fc.record({
    kind: fc.constant('cut' as const),
    daemon: fc.nat(),
    duration: fc.nat(12_000),
  }),
  fc.record({ kind: fc.constant('shutdown' as const), daemon: fc.nat(), duration: fc.nat(800) }),
  fc.record({ kind: fc.constant('restart' as const), daemon: fc.nat(), duration: fc.nat(2_000) }),
  fc.record({ kind: fc.constant('release' as const), daemon: fc.nat(), duration: fc.nat(4_000) }),
  fc.record({ kind: fc.constant('refuse' as const), daemon: fc.nat(), duration: fc.nat(2_000) }),
  fc.record({
    kind: fc.constant('step' as const),
    daemon: fc.nat(),
    duration: fc.nat(4_000),
  }),
  fc.record({
    kind: fc.constant('store-down' as const),
    daemon: fc.nat(),
    duration: fc.nat(12_000),
  }),
  fc.record({
    kind: fc.constant('lost' as const),
    daemon: fc.nat(),
    duration: fc.nat(3_000),
  }),
  fc.record({
    kind: fc.constant('delete' as const),
    daemon: fc.nat(),
    duration: fc.nat(8_000),
  }),
);

type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;

async function injectFault(
  simulation: LeaseSimulation,
  { kind, daemon, duration }: Fault,
): Promise<void> {
  const contender =
    simulation.contenders[daemon % Math.min(simulation.contenders.length, options.maxCandidates)]!;
  switch (kind) {
    case 'pause':
    case 'suspend':
      contender.clock.pause();
      await simulation.run(duration);
      if (kind === 'suspend') {
        contender.suspendedDuration += duration;
      }
      contender.clock.resume();
      break;
    case 'cut':
      contender.isPartitioned = true;
      await simulation.run(duration);
      contender.isPartitioned = false;
      break;
    case 'shutdown':
      contender.release();
      await simulation.run(300);
      contender.restart();
      await simulation.run(duration);
      break;
    case 'restart':
      contender.restart();
      await simulation.run(duration);
      break;
    case 'release':
      contender.release();
      await simulation.run(duration);
      break;
    case 'refuse':
      contender.rejectFencingNumber();
      await simulation.run(duration);
      break;
    case 'step':
      contender.wallClockShift += duration - 2_000;
      await simulation.run(duration);
      break;
    case 'store-down':
      Object.assign(simulation, { isStoreDown: true });
      await simulation.run(duration);
      Object.assign(simulation, { isStoreDown: false });
      break;
    case 'lost':
      Object.assign(simulation, { lostResponses: 2 });
      await simulation.run(duration);
      break;
    case 'delete':
      simulation.deleteObject();
      await simulation.run(duration);
      break;
    default:
      throw new Error(`unknown fault: ${String(kind)}`);
  }
}

/** Checks the actions of all daemons, in chronological order, for violations of the lease rules. */
function getViolations(actions: readonly HolderAction[]): string[] {
  const violations: string[] = [];
  const holders = new Map<number, number>();
  const turns: HolderAction[] = [];
  let highest = 0;
  actions.forEach((action) => {
    const holder = holders.get(action.fencingNumber) ?? action.daemon;
    holders.set(action.fencingNumber, holder);
    if (holder !== action.daemon) {
      violations.push(`${action.fencingNumber} is used by ${holder} and ${action.daemon}`);
    }
    if (action.fencingNumber < highest) {
      violations.push(`${action.fencingNumber} is used after ${highest}`);
    }
    highest = Math.max(highest, action.fencingNumber);
    const last = turns.at(-1);
    const previous = turns.at(-2);
    if (last !== undefined && last.daemon !== action.daemon) {
      if (
        previous?.daemon === action.daemon &&
        action.at - previous.at < MIN_ALTERNATION_INTERVAL
      ) {
        violations.push(`${action.daemon}, ${last.daemon}, ${action.daemon} at ${action.at}`);
      }
      turns.push(action);
    } else if (last !== undefined) {
      turns[turns.length - 1] = action;
    } else {
      turns.push(action);
    }
  });
  return violations;
}

describe('a lease with many candidates', () => {
  it('never has two holders, decreasing fencing numbers or fast alternation', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom(2, 3, 5, 22, 195),
        fc.array(fault, { minLength: 1, maxLength: 10 }),
        async (seed, candidates, faults) => {
          const simulation = new LeaseSimulation(createRandom(seed), options, candidates);
          await simulation.run(8_000);
          for (const nextFault of faults) {
            // Faults are injected one after the other, but their effects overlap.
            // eslint-disable-next-line no-await-in-loop
            await injectFault(simulation, nextFault);
          }
          await simulation.run(20_000);
          simulation.dispose();
          expect(getViolations(simulation.actions)).toEqual([]);
          expect(simulation.actions.some(({ at }) => at > simulation.clock.now() - 3_000)).toBe(
            true,
          );
        },
      ),
      { numRuns: RUNS, seed: SEED === undefined ? 11 : Number(SEED) },
    );
  });

  // Guards against the order A, B, A in a rolling restart, where each holder releases the lease.
  it('does not alternate between daemons that shut down in turn', async () => {
    const simulation = new LeaseSimulation(createRandom(1), options, 2);
    await simulation.run(8_000);
    for (let round = 0; round < 60; round += 1) {
      const last = simulation.actions.at(-1)!;
      const isHeld = simulation.clock.now() - last.at < 200;
      // eslint-disable-next-line no-await-in-loop
      await (isHeld
        ? injectFault(simulation, { kind: 'shutdown', daemon: last.daemon, duration: 0 })
        : simulation.run(200));
    }
    await simulation.run(10_000);
    simulation.dispose();
    expect(new Set(simulation.actions.map(({ daemon }) => daemon)).size).toBe(2);
    expect(getViolations(simulation.actions)).toEqual([]);
  });
});
