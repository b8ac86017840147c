import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import type { DaemonPreference } from './RelayDeployment.js';

const SECOND = 1_000;

const PREFERENCE: DaemonPreference = {
  startsAt: 10 * SECOND,
  duration: 8 * SECOND,
  daemon: 0,
  share: 0.85,
};

/** Time from the start of the preference until callers must be served as before. */
const CONTACT_TIME = 3 * SECOND;

/** Least part of the rate at which calls were served before. */
const LEAST_RATE = 3 / 4;

const FLEETS = ['drafts', 'papers', 'histories'] as const;

describe('a fleet whose load balancer prefers one daemon', () => {
  // Guards against shares of replicas that are split evenly between daemons while one has the callers.
  it.each(FLEETS)('serves its callers as before: %s', (name) => {
    const deployment = { ...namedDeployments[name]!(), duration: 18 * SECOND };
    const { calls } = new FleetSimulation({ ...deployment, preference: PREFERENCE }, 1).run();
    const getRate = (from: number, until: number) => {
      const chosen = calls.filter(({ arrivedAt }) => arrivedAt >= from && arrivedAt < until);
      return chosen.filter(({ isComplete }) => isComplete).length / chosen.length;
    };
    const { startsAt, duration } = PREFERENCE;
    const before = getRate(startsAt - CONTACT_TIME, startsAt);
    const during = getRate(startsAt + CONTACT_TIME, startsAt + duration);
    expect(during).toBeGreaterThanOrEqual(LEAST_RATE * before);
  });
});
