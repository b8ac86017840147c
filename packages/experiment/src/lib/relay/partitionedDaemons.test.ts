import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import type { Partition } from './RelayDeployment.js';
import { summariseDay } from './summariseDay.js';

const SECOND = 1_000;

const PARTITION: Partition = {
  startsAt: 4 * SECOND,
  duration: 8 * SECOND,
  daemons: 4,
  detection: 0.5 * SECOND,
};

/** Time from the start of a partition until callers must be served again. */
const CONTACT_TIME = 3 * SECOND;

/** Least rate at which partitioned daemons serve, compared with the others. */
const LEAST_RATE = 2 / 3;

const SMALL_FLEET = namedDeployments.drafts!();

/** A fleet in which each group of replicas has a daemon that chooses for all others. */
const LARGE_FLEET = { ...namedDeployments.histories!(), duration: 15 * SECOND };

function simulate(seed: number, partition?: Partition, deployment = SMALL_FLEET) {
  const simulation = new FleetSimulation({ ...deployment, partition }, seed);
  const result = simulation.run();
  return { simulation, calls: result.calls, worth: summariseDay(result).worth };
}

/** Share of the calls that are complete, among those that arrive while they must be served. */
function getServedRates(
  seed: number,
  partition: Partition,
  deployment = SMALL_FLEET,
): { own: number; others: number } {
  const { calls } = simulate(seed, partition, deployment);
  const observed = calls.filter(
    ({ arrivedAt }) =>
      arrivedAt >= partition.startsAt + CONTACT_TIME &&
      arrivedAt < partition.startsAt + partition.duration,
  );
  const getRate = (isOwn: boolean) => {
    const chosen = observed.filter(({ daemon }) => daemon < partition.daemons === isOwn);
    return chosen.filter(({ isComplete }) => isComplete).length / chosen.length;
  };
  return { own: getRate(true), others: getRate(false) };
}

describe('a fleet of which some daemons are partitioned from all replicas', () => {
  // Guards against callers who are not served because their daemon has lost its links.
  it('serves the callers of these daemons like the others', () => {
    [1, 2, 3].forEach((seed) => {
      const { own, others } = getServedRates(seed, PARTITION);
      expect(own).toBeGreaterThanOrEqual(LEAST_RATE * others);
    });
  });

  // Guards against daemons that choose for others in a large fleet and are partitioned themselves.
  it.each([16, 32])('serves them in a large fleet as well: %d of 64 daemons', (daemons) => {
    const { own, others } = getServedRates(1, { ...PARTITION, daemons }, LARGE_FLEET);
    expect(own).toBeGreaterThanOrEqual(LEAST_RATE * others);
  });

  it('does not serve them without forwarding, which shows that the model has the fault', () => {
    const { own, others } = getServedRates(1, { ...PARTITION, detection: undefined });
    expect(own).toBeLessThan(LEAST_RATE * others);
  });

  // Guards against replicas that all daemons avoid on the word of those that reach none.
  it('announces no failure of a replica', () => {
    const { simulation } = simulate(1, PARTITION);
    expect(simulation.sentUpdates.get('attempt-broken') ?? 0).toBe(0);
  });
});
