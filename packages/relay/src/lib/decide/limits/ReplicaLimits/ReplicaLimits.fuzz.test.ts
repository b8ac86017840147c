import { createRandom } from '@apricotrill/utils';
import * as fc from 'fast-check';
import { CrashFleet } from '../../../../test/CrashFleet.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 25);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261_206);

const REPLICAS = 8;
const DURATION = 20_000;
const STEP = 50;

/** When replicas begin to state limits. */
const LIMITED_AT = 3_000;

/** Time after which all daemons must respect the limits. */
const DETECTION_TIME = 3_000;

/** Window in which requests are counted, and the number allowed per window. */
const WINDOW = 4_000;
const getAllowed = (perSecond: number) => (1.5 * perSecond * WINDOW) / 1_000 + 5;

interface Scenario {
  seed: number;
  daemons: number;
  loss: number;
  /** Number of replicas that state a limit. */
  limited: number;
  perSecond: number;
  /** Whether one daemon receives all requests. */
  isSkewed: boolean;
  restarts: number;
}

/** Simulates a fleet in which some replicas state a limit. */
function simulate(scenario: Scenario): CrashFleet {
  const { seed, daemons, loss, limited, perSecond, isSkewed, restarts } = scenario;
  const fleet = new CrashFleet({ seed, daemons, replicas: REPLICAS, loss });
  const random = createRandom(seed + 1);
  const restartTimes = Array.from({ length: restarts }, () => random.integer(DURATION));
  for (let at = 0; at < DURATION; at += STEP) {
    if (at === LIMITED_AT) {
      for (let index = 0; index < limited; index += 1) {
        fleet.setLimit(index, perSecond);
      }
    }
    restartTimes
      .filter((time) => time >= at && time < at + STEP)
      .forEach(() => fleet.restartDaemon(random.integer(daemons)));
    for (let index = 0; index < 2; index += 1) {
      const name = `r-${at}-${index}`;
      fleet.submit(isSkewed ? 0 : random.integer(daemons), name, name);
    }
    fleet.advance(STEP);
  }
  return fleet;
}

/**
 * Returns the maximum number of requests that a limited replica received in one window.
 *
 * @param countsUninformed - also counts requests of daemons that received no response with the limit
 */
function getMaximumArrivals(fleet: CrashFleet, countsUninformed: boolean): number {
  const counts = [...fleet.limitedSince].flatMap(([replica, since]) => {
    const counted = (fleet.arrivals.get(replica) ?? []).filter(
      ({ at, isInformed }) => (countsUninformed || isInformed) && at >= since + DETECTION_TIME,
    );
    return counted.map(
      ({ at: from }) => counted.filter(({ at }) => at >= from && at < from + WINDOW).length,
    );
  });
  return Math.max(0, ...counts);
}

/** Counts the requests that reached limited replicas in the second half of the simulation. */
function countLateArrivals(fleet: CrashFleet): number {
  return [...fleet.limitedSince.keys()]
    .flatMap((replica) => fleet.arrivals.get(replica) ?? [])
    .filter(({ at }) => at >= DURATION / 2).length;
}

describe('rate-limited replicas', () => {
  it('receive no more requests than allowed from all daemons together', () => {
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.nat(1_000_000),
          daemons: fc.constantFrom(1, 2, 9, 20),
          loss: fc.constantFrom(0, 0.03, 0.1),
          limited: fc.constantFrom(1, 2, REPLICAS),
          perSecond: fc.constantFrom(0, 0.4, 1, 2, 6),
          isSkewed: fc.boolean(),
          restarts: fc.integer({ min: 0, max: 4 }),
        }),
        (scenario) => {
          const fleet = simulate(scenario);
          const countsUninformed = scenario.restarts === 0;
          expect(getMaximumArrivals(fleet, countsUninformed)).toBeLessThanOrEqual(
            getAllowed(scenario.perSecond),
          );
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  });

  it('receive no more requests than allowed from 195 daemons', () => {
    const scenario = { seed: 7, daemons: 195, loss: 0.03, limited: 2, perSecond: 1 };
    const fleet = simulate({ ...scenario, isSkewed: false, restarts: 0 });
    expect(getMaximumArrivals(fleet, true)).toBeLessThanOrEqual(getAllowed(scenario.perSecond));
  });

  // Guards against idle replicas and accumulating requests when all replicas are limited.
  it.each([1, 9, 20])('are used by %i daemons when all are limited', (daemons) => {
    const scenario = { seed: 8, daemons, loss: 0.03, limited: REPLICAS, perSecond: 2 };
    const fleet = simulate({ ...scenario, isSkewed: false, restarts: 0 });
    const offered = (REPLICAS * scenario.perSecond * DURATION) / 2 / 1_000;
    expect(countLateArrivals(fleet)).toBeGreaterThan(offered * 0.6);
    expect(fleet.getOpenRequests()).toBeLessThan(200);
  });

  // Guards against overloading the unlimited replicas while the limited ones are idle.
  it.each([9, 20])('are used where some are limited, by %i daemons', (daemons) => {
    const scenario = { seed: 9, daemons, loss: 0.03, limited: 6, perSecond: 3 };
    const fleet = simulate({ ...scenario, isSkewed: false, restarts: 0 });
    const offered = (scenario.limited * scenario.perSecond * DURATION) / 2 / 1_000;
    expect(countLateArrivals(fleet)).toBeGreaterThan(offered * 0.6);
    expect(getMaximumArrivals(fleet, true)).toBeLessThanOrEqual(getAllowed(scenario.perSecond));
  });
});
