import * as fc from 'fast-check';
import { createRandom } from '@apricotrill/utils';
import { CrashFleet } from '../../../../test/CrashFleet.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 25);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_204);

/** Limits on crashes, detection time and further sends of requests with a part that crashes replicas. */
const CRASHES = 5;
const DETECTION_TIME = 3_000;
const MAX_RETRIES = 3;

/** Where the part stands in the prompts. */
enum Position {
  First = 'first',
  Middle = 'middle',
}

interface Scenario {
  seed: number;
  daemons: number;
  loss: number;
  /** Number of parts that crash replicas. */
  crashing: number;
  position: Position;
  /** Milliseconds between requests with each such part. */
  interval: number;
  /** Correlated failures of a third of all replicas. */
  failures: number;
  restarts: number;
  /** Number of further parts that the requests share, each with a part of the sound ones. */
  sessions: number;
}

const DURATION = 20_000;
const STEP = 50;

/** When requests with the first part that crashes replicas begin. */
const START = 1_000;

const SETTLED = START + 3 * DETECTION_TIME;

/** Of the sound requests, which are all served while nothing crashes. */
const LEAST_SERVED_SHARE = 0.5;

const COMMON_PART = 'common';

interface Outcome {
  fleet: CrashFleet;
  /** Names of the sound requests sent after the fleet had time to settle. */
  late: string[];
}

/** Simulates a fleet whose requests all share a part, some of them with one that crashes replicas. */
function simulate(scenario: Scenario): Outcome {
  const { seed, daemons, loss, crashing, position, interval, failures, restarts } = scenario;
  const fleet = new CrashFleet({ seed, daemons, replicas: 12, loss });
  const random = createRandom(seed + 1);
  const names = Array.from({ length: crashing }, (_item, index) => `guilty-${index}`);
  names.forEach((name) => fleet.setCrashing(name));
  const disturbances = [
    ...Array.from({ length: failures }, () => ({
      at: random.integer(DURATION),
      act: () => fleet.crashReplicas(1 / 3),
    })),
    ...Array.from({ length: restarts }, () => ({
      at: random.integer(DURATION),
      act: () => fleet.restartDaemon(random.integer(daemons)),
    })),
  ];
  const getSession = () => `session-${random.integer(scenario.sessions)}`;
  const late: string[] = [];
  for (let at = 0; at < DURATION; at += STEP) {
    disturbances.filter((item) => item.at >= at && item.at < at + STEP).forEach(({ act }) => act());
    const sound = `sound-${at}`;
    fleet.submit(random.integer(daemons), sound, sound, [COMMON_PART, getSession(), sound]);
    if (at >= SETTLED) {
      late.push(sound);
    }
    names.forEach((name, index) => {
      if ((at + index * 10) % interval < STEP && at > START * (index + 1)) {
        const id = `${name}-${at}`;
        const middle = [COMMON_PART, name, id];
        const first = [name, getSession(), id];
        const parts = position === Position.First ? first : middle;
        fleet.submit(random.integer(daemons), id, id, parts);
      }
    });
    fleet.advance(STEP);
  }
  return { fleet, late };
}

/** Counts sends after the detection time by daemons that had run long enough to be informed. */
function getLateSends(fleet: CrashFleet, name: string): number {
  const last = fleet.crashes.get(name)?.[CRASHES - 1];
  if (last === undefined) {
    return 0;
  }
  const sends = fleet.sends.get(name) ?? [];
  return sends.filter(({ at, isInformed }) => isInformed && at > last + DETECTION_TIME).length;
}

function getServedShare(fleet: CrashFleet, names: readonly string[]): number {
  return names.filter((name) => fleet.served.has(name)).length / names.length;
}

describe('parts of prompts that crash replicas', () => {
  // Guards against requests of which no two are alike, but with a part that crashes replicas.
  it('are sent at most three more times after five crashes, and no sound request is rejected', () => {
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.nat(1_000_000),
          daemons: fc.constantFrom(1, 2, 9, 20),
          loss: fc.constantFrom(0, 0.03, 0.1),
          crashing: fc.integer({ min: 0, max: 2 }),
          position: fc.constantFrom(...Object.values(Position)),
          interval: fc.constantFrom(100, 200, 500, 2_000),
          failures: fc.integer({ min: 0, max: 3 }),
          restarts: fc.integer({ min: 0, max: 4 }),
          sessions: fc.constantFrom(2, 10, 100),
        }),
        (scenario) => {
          const { fleet, late } = simulate(scenario);
          for (let index = 0; index < scenario.crashing; index += 1) {
            expect(getLateSends(fleet, `guilty-${index}`)).toBeLessThanOrEqual(MAX_RETRIES);
          }
          expect([...fleet.rejected].filter((name) => name.startsWith('sound'))).toEqual([]);
          expect(getServedShare(fleet, late)).toBeGreaterThan(LEAST_SERVED_SHARE);
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it('are detected by a fleet of 195 daemons', () => {
    const { fleet, late } = simulate({
      seed: 7,
      daemons: 195,
      loss: 0.03,
      crashing: 2,
      position: Position.Middle,
      interval: 200,
      failures: 1,
      restarts: 4,
      sessions: 10,
    });
    ['guilty-0', 'guilty-1'].forEach((name) => {
      expect(fleet.crashes.get(name)!.length).toBeGreaterThan(0);
      expect(getLateSends(fleet, name)).toBeLessThanOrEqual(MAX_RETRIES);
    });
    expect([...fleet.rejected].filter((name) => name.startsWith('sound'))).toEqual([]);
    expect(getServedShare(fleet, late)).toBeGreaterThan(LEAST_SERVED_SHARE);
  });
});
