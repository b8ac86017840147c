import * as fc from 'fast-check';
import { createRandom } from '@apricotrill/utils';
import { CrashFleet } from '../../../../test/CrashFleet.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 25);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_204);

/** Limits on crashes, detection time and further sends of a request that crashes replicas. */
const CRASHES = 3;
const DETECTION_TIME = 3_000;
const MAX_RETRIES = 3;

interface Scenario {
  seed: number;
  daemons: number;
  loss: number;
  crashing: number;
  /** Milliseconds between arrivals of each request that crashes replicas. */
  interval: number;
  /** Correlated failures of a third of all replicas. */
  failures: number;
  restarts: number;
  /** Whether some of the harmless requests share one fingerprint. */
  isContentShared: boolean;
}

/** Regression case: correlated failures delayed the detection of a slowly repeated request. */
const CORRELATED_FAILURES: Scenario = {
  seed: 670_312,
  daemons: 9,
  loss: 0.1,
  crashing: 3,
  interval: 1_000,
  failures: 3,
  restarts: 0,
  isContentShared: false,
};

const DURATION = 20_000;
const STEP = 50;

/** Simulates a fleet under normal requests and requests that crash replicas. */
function simulate({
  seed,
  daemons,
  loss,
  crashing,
  interval,
  failures,
  restarts,
  isContentShared,
}: Scenario): CrashFleet {
  const fleet = new CrashFleet({ seed, daemons, replicas: 12, loss });
  const random = createRandom(seed + 1);
  const names = Array.from({ length: crashing }, (_item, index) => `deadly-${index}`);
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
  for (let at = 0; at < DURATION; at += STEP) {
    disturbances.filter((item) => item.at >= at && item.at < at + STEP).forEach(({ act }) => act());
    // Fingerprints determine the rendezvous order, so renaming one changes the seeded scenarios.
    const harmless = `innocent-${at}`;
    const fingerprint = isContentShared && at % 100 === 0 ? 'innocent-common' : harmless;
    fleet.submit(random.integer(daemons), harmless, fingerprint);
    // A retry by the caller.
    if (random.next() < 0.2) {
      fleet.submit(random.integer(daemons), `${harmless}-again`, fingerprint);
    }
    names.forEach((name, index) => {
      if ((at + index * 10) % interval < STEP && at > 1_000 * (index + 1)) {
        fleet.submit(random.integer(daemons), `${name}-${at}`, name);
      }
    });
    fleet.advance(STEP);
  }
  return fleet;
}

/** Counts sends after the detection time by daemons that had run long enough to be informed. */
function getLateSends(fleet: CrashFleet, name: string): number {
  const third = fleet.crashes.get(name)?.[CRASHES - 1];
  if (third === undefined) {
    return 0;
  }
  const sends = fleet.sends.get(name) ?? [];
  return sends.filter(({ at, isInformed }) => isInformed && at > third + DETECTION_TIME).length;
}

describe('requests that crash replicas of a fleet', () => {
  it('are sent at most three more times after detection, and no other request is rejected', () => {
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.nat(1_000_000),
          daemons: fc.constantFrom(1, 2, 9, 20),
          loss: fc.constantFrom(0, 0.03, 0.1),
          crashing: fc.integer({ min: 0, max: 3 }),
          interval: fc.constantFrom(100, 300, 1_000),
          failures: fc.integer({ min: 0, max: 3 }),
          restarts: fc.integer({ min: 0, max: 4 }),
          isContentShared: fc.boolean(),
        }),
        (inputs) => {
          const fleet = simulate(inputs);
          for (let index = 0; index < inputs.crashing; index += 1) {
            expect(getLateSends(fleet, `deadly-${index}`)).toBeLessThanOrEqual(MAX_RETRIES);
          }
          const harmless = [...fleet.rejected].filter((name) => name.startsWith('innocent'));
          expect(harmless).toEqual([]);
        },
      ),
      { numRuns: RUNS, seed: SEED, examples: [[CORRELATED_FAILURES]] },
    );
  });

  it('are detected by a fleet of 195 daemons', () => {
    const inputs = { seed: 7, daemons: 195, loss: 0.03, crashing: 2, interval: 300 };
    const fleet = simulate({ ...inputs, failures: 1, restarts: 4, isContentShared: true });
    ['deadly-0', 'deadly-1'].forEach((name) => {
      expect(fleet.crashes.get(name)!.length).toBeGreaterThanOrEqual(CRASHES);
      expect(getLateSends(fleet, name)).toBeLessThanOrEqual(MAX_RETRIES);
    });
    expect([...fleet.rejected].filter((name) => name.startsWith('innocent'))).toEqual([]);
  });
});
