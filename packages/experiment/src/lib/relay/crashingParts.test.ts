import { hasCrashingPart } from './createCrashingCalls.js';
import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import type { CrashingPart } from './RelayDeployment.js';

const SECOND = 1_000;

const CRASHING_PART: CrashingPart = {
  startsAt: 6 * SECOND,
  duration: 18 * SECOND,
  position: 0,
  rate: 5,
  restartTime: 2.5 * SECOND,
};

/** Time until all daemons must know of a crash. */
const CONTACT_TIME = 3 * SECOND;

/** Crashes after which the part must be known, and later sends of requests with it. */
const DETECTED_AFTER = 5;
const MAX_LATE_SENDS = 3;

/** Least part of the rate at which sound calls are complete while no engine crashes. */
const LEAST_RATE = 0.5;

const SMALL_FLEET = namedDeployments.drafts!();

/** A fleet in which each group of replicas has a daemon that chooses for all others. */
const LARGE_FLEET = { ...namedDeployments.histories!(), duration: 24 * SECOND };

function simulate(seed: number, part: CrashingPart | undefined, deployment = SMALL_FLEET) {
  const simulation = new FleetSimulation({ ...deployment, crashingPart: part }, seed);
  const { calls } = simulation.run();
  const detectedAt = simulation.crashTimes[DETECTED_AFTER - 1] ?? simulation.crashTimes.at(-1) ?? 0;
  const sound = calls.filter(
    (call) =>
      call.prompt !== undefined &&
      !hasCrashingPart(call) &&
      call.arrivedAt >= CRASHING_PART.startsAt + 2 * CONTACT_TIME + SECOND &&
      call.arrivedAt < CRASHING_PART.startsAt + CRASHING_PART.duration,
  );
  return {
    crashes: simulation.crashTimes.length,
    lateSends: simulation.crashingSends.filter((at) => at > detectedAt + CONTACT_TIME).length,
    soundRate: sound.filter(({ isComplete }) => isComplete).length / sound.length,
  };
}

describe('a fleet whose engines crash on a part of prompts', () => {
  // Guards against requests of which no two are alike, and that crash one engine after another.
  it.each([
    [1, 0],
    [2, 0],
    [3, 1],
  ])('sends few requests with it after five crashes: seed %d, part %d', (seed, position) => {
    const { crashes, lateSends, soundRate } = simulate(seed, { ...CRASHING_PART, position });
    expect(crashes).toBeGreaterThan(0);
    expect(lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
    expect(soundRate).toBeGreaterThanOrEqual(LEAST_RATE * simulate(seed, undefined).soundRate);
  });

  it('does so in a large fleet', () => {
    const { crashes, lateSends, soundRate } = simulate(1, CRASHING_PART, LARGE_FLEET);
    expect(crashes).toBeGreaterThan(0);
    expect(lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
    const calm = simulate(1, undefined, LARGE_FLEET).soundRate;
    expect(soundRate).toBeGreaterThanOrEqual(LEAST_RATE * calm);
  });
});
