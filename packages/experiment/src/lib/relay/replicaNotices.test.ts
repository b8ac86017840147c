import type { PlacementUpdate } from '@apricotrill/relay';
import { namedDeployments } from './deployments.js';
import { FleetSimulation } from './FleetSimulation.js';
import { summariseDay } from './summariseDay.js';

const SECOND = 1_000;

const BACKOFF = { startsAt: 3 * SECOND, duration: 9 * SECOND, engines: 2, span: 3 * SECOND };

const LEAVES_AT = 5 * SECOND;

/** Time from a response to the moment at which its daemon must have reacted to it. */
const REACTION_TIME = 500;

/** Requests that a platform tolerates in a backoff. */
const TOLERATED = 2;

const NONE: ReadonlySet<PlacementUpdate['kind']> = new Set();

function simulateBackoffs(seed: number, lostUpdates = NONE) {
  const deployment = { ...namedDeployments.drafts!(), backoffs: [BACKOFF] };
  const simulation = new FleetSimulation(deployment, seed, {}, lostUpdates);
  const { worth } = summariseDay(simulation.run());
  const engines = [0, 1].map((index) => simulation.findEngine(`engines-${index}`)!);
  const refused = engines.flatMap(({ arrivals }) =>
    arrivals.filter(({ at }) => at >= BACKOFF.startsAt && at < BACKOFF.startsAt + BACKOFF.duration),
  );
  return { worth, engines, refused };
}

describe('a fleet with engines that ask for a backoff', () => {
  // Guards against a daemon that keeps sending requests to an engine which turned it away.
  it('sends an engine next to nothing from a daemon that it turned away', () => {
    [1, 2, 3].forEach((seed) => {
      simulateBackoffs(seed).engines.forEach(({ arrivals }) => {
        const refusals = arrivals.filter(
          ({ at }) => at >= BACKOFF.startsAt && at < BACKOFF.startsAt + BACKOFF.duration,
        );
        refusals.forEach(({ at: from, daemon }) => {
          const received = arrivals.filter(
            ({ at, daemon: sender }) =>
              sender === daemon && at > from + REACTION_TIME && at < from + BACKOFF.span,
          );
          expect(received.length).toBeLessThanOrEqual(TOLERATED);
        });
      });
    });
  });

  // Guards against each daemon being turned away by itself.
  it('has fewer requests turned away if the daemons tell each other', () => {
    [1, 2, 3].forEach((seed) => {
      const told = simulateBackoffs(seed);
      const untold = simulateBackoffs(seed, new Set(['backoffs']));
      expect(told.refused.length).toBeLessThan(untold.refused.length);
    });
  });
});

describe('a fleet with an engine that announces that it leaves', () => {
  // Guards against sending requests to the engine until the list of replicas shows that it leaves.
  it('sends it no request that comes after a daemon has had time to react', () => {
    [1, 2, 3].forEach((seed) => {
      const deployment = { ...namedDeployments.drafts!(), firstEngineLeavesAt: LEAVES_AT };
      const simulation = new FleetSimulation(deployment, seed);
      simulation.run();
      const { arrivals } = simulation.findEngine('engines-0')!;
      const late = arrivals.filter(
        ({ submittedAt }) => submittedAt > LEAVES_AT + deployment.kinds[0]!.latencyTarget * 4,
      );
      expect(arrivals.some(({ at }) => at < LEAVES_AT)).toBe(true);
      expect(late).toEqual([]);
    });
  });
});
