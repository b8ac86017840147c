import { createRandom } from '@apricotrill/utils';
import type { Milliseconds } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { LeaseWorld } from '../../test/LeaseWorld.js';
import type { Act } from '../../test/Contender.js';
import { defaultLeaseOptions } from '../leaseOptions.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 60);
const SEED = process.env.APRICOTRILL_FUZZ_SEED;

/** Within this time holders must not act in the order A, B, A. */
const ALTERNATION: Milliseconds = 3_000;

const options = {
  ...defaultLeaseOptions,
  span: 5_000,
  margin: 1_500,
  renewal: 1_500,
  retry: 400,
  callTimeout: 1_000,
  candidateDelay: 700,
  rest: 3_000,
};

/** The faults of a run; the daemon is one of the candidates. */
const fault = fc.oneof(
  fc.record({ kind: fc.constant('freeze' as const), daemon: fc.nat(), span: fc.nat(12_000) }),
  fc.record({ kind: fc.constant('suspend' as const), daemon: fc.nat(), span: fc.nat(12_000) }),
  fc.record({ kind: fc.constant('cut' as const), daemon: fc.nat(), span: fc.nat(12_000) }),
  fc.record({ kind: fc.constant('shutdown' as const), daemon: fc.nat(), span: fc.nat(800) }),
  fc.record({ kind: fc.constant('restart' as const), daemon: fc.nat(), span: fc.nat(2_000) }),
  fc.record({ kind: fc.constant('release' as const), daemon: fc.nat(), span: fc.nat(4_000) }),
  fc.record({ kind: fc.constant('refuse' as const), daemon: fc.nat(), span: fc.nat(2_000) }),
  fc.record({ kind: fc.constant('step' as const), daemon: fc.nat(), span: fc.nat(4_000) }),
  fc.record({ kind: fc.constant('store-down' as const), daemon: fc.nat(), span: fc.nat(12_000) }),
  fc.record({ kind: fc.constant('lost' as const), daemon: fc.nat(), span: fc.nat(3_000) }),
  fc.record({ kind: fc.constant('delete' as const), daemon: fc.nat(), span: fc.nat(8_000) }),
);

type Fault = typeof fault extends fc.Arbitrary<infer Value> ? Value : never;

async function play(world: LeaseWorld, { kind, daemon, span }: Fault): Promise<void> {
  const contender =
    world.contenders[daemon % Math.min(world.contenders.length, options.candidates)]!;
  switch (kind) {
    case 'freeze':
    case 'suspend':
      contender.clock.pause();
      await world.run(span);
      if (kind === 'suspend') {
        contender.stoodStill += span;
      }
      contender.clock.resume();
      break;
    case 'cut':
      contender.isCutOff = true;
      await world.run(span);
      contender.isCutOff = false;
      break;
    case 'shutdown':
      contender.release();
      await world.run(300);
      contender.restart();
      await world.run(span);
      break;
    case 'restart':
      contender.restart();
      await world.run(span);
      break;
    case 'release':
      contender.release();
      await world.run(span);
      break;
    case 'refuse':
      contender.refuse();
      await world.run(span);
      break;
    case 'step':
      contender.dayShift += span - 2_000;
      await world.run(span);
      break;
    case 'store-down':
      Object.assign(world, { isStoreDown: true });
      await world.run(span);
      Object.assign(world, { isStoreDown: false });
      break;
    case 'lost':
      Object.assign(world, { lostAnswers: 2 });
      await world.run(span);
      break;
    case 'delete':
      world.deleteObject();
      await world.run(span);
      break;
    default:
      throw new Error(`no such fault: ${String(kind)}`);
  }
}

/** What the acts of all daemons, in the order of time, must never show. */
function getViolations(acts: readonly Act[]): string[] {
  const violations: string[] = [];
  const holders = new Map<number, number>();
  const turns: Act[] = [];
  let highest = 0;
  acts.forEach((act) => {
    const holder = holders.get(act.fencingNumber) ?? act.daemon;
    holders.set(act.fencingNumber, holder);
    if (holder !== act.daemon) {
      violations.push(`${act.fencingNumber} is used by ${holder} and ${act.daemon}`);
    }
    if (act.fencingNumber < highest) {
      violations.push(`${act.fencingNumber} is used after ${highest}`);
    }
    highest = Math.max(highest, act.fencingNumber);
    const last = turns.at(-1);
    const before = turns.at(-2);
    if (last !== undefined && last.daemon !== act.daemon) {
      if (before?.daemon === act.daemon && act.at - before.at < ALTERNATION) {
        violations.push(`${act.daemon}, ${last.daemon}, ${act.daemon} at ${act.at}`);
      }
      turns.push(act);
    } else if (last !== undefined) {
      turns[turns.length - 1] = act;
    } else {
      turns.push(act);
    }
  });
  return violations;
}

describe('a lease among many daemons', () => {
  it('never has two holders, an older number after a newer one, or holders that alternate', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer({ min: 1, max: 1_000_000 }),
        fc.constantFrom(2, 3, 5, 22, 195),
        fc.array(fault, { minLength: 1, maxLength: 10 }),
        async (seed, candidates, faults) => {
          const world = new LeaseWorld(createRandom(seed), options, candidates);
          await world.run(8_000);
          for (const one of faults) {
            // Faults come one after the other, and what they leave behind overlaps.
            // eslint-disable-next-line no-await-in-loop
            await play(world, one);
          }
          await world.run(20_000);
          world.dispose();
          expect(getViolations(world.acts)).toEqual([]);
          expect(world.acts.some(({ at }) => at > world.clock.now() - 3_000)).toBe(true);
        },
      ),
      { numRuns: RUNS, seed: SEED === undefined ? 11 : Number(SEED) },
    );
  });

  // Guards against A, B, A in a rolling restart, where each holder releases the lease.
  it('does not go back and forth between daemons that shut down in turn', async () => {
    const world = new LeaseWorld(createRandom(1), options, 2);
    await world.run(8_000);
    for (let turn = 0; turn < 60; turn += 1) {
      const last = world.acts.at(-1)!;
      const isHeld = world.clock.now() - last.at < 200;
      // eslint-disable-next-line no-await-in-loop
      await (isHeld
        ? play(world, { kind: 'shutdown', daemon: last.daemon, span: 0 })
        : world.run(200));
    }
    await world.run(10_000);
    world.dispose();
    expect(new Set(world.acts.map(({ daemon }) => daemon)).size).toBe(2);
    expect(getViolations(world.acts)).toEqual([]);
  });
});
