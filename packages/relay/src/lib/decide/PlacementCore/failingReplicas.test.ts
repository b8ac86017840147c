import { createRandom } from '@apricotrill/utils';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';

const REQUESTS = 1_500;

/** Mean time between two requests. */
const GAP = 12;

/** Attempts of one request, by index of the replica, and whether the last one failed. */
interface Attempts {
  replicas: number[];
  hasFailed: boolean;
}

/** Sends requests to replicas of a plain service that fail a share of their attempts at random. */
function replay(failureRates: readonly number[], seed: number): Attempts[] {
  const random = createRandom(seed);
  const harness = new CoreHarness(
    [createService('app')],
    failureRates.map((_rate, index) => createReplica(String(index))),
  );
  const requests = new Map<string, Attempts>();
  let handled = 0;
  const answer = () => {
    const sent = harness.getEffects('send');
    sent.slice(handled).forEach(({ id, attempt, replica }) => {
      const index = Number(replica.id);
      const hasFailed = random.next() < failureRates[index]!;
      requests.set(id, {
        replicas: [...(requests.get(id)?.replicas ?? []), index],
        hasFailed,
      });
      harness.clock.setTimer(20 + random.next() * 20, () => {
        harness.end(id, attempt, hasFailed ? AttemptEnd.Failed : AttemptEnd.Completed);
        answer();
      });
    });
    handled = sent.length;
  };
  for (let index = 0; index < REQUESTS; index += 1) {
    harness.clock.advance(-Math.log(1 - random.next()) * GAP);
    harness.submit(createRequest(`r-${index}`, { latencyTarget: 150 }));
    answer();
  }
  harness.clock.advance(2_000);
  return [...requests.values()];
}

describe('replicas that answer with failures', () => {
  // Guards against second attempts at the replica that has just failed the request.
  it.each([1, 2, 3])('are not asked twice for a request: seed %d', (seed) => {
    const repeated = replay([0.14, 0.14, 0.14, 0.14], seed).filter(
      ({ replicas }) => replicas.length > 1,
    );
    expect(repeated.length).toBeGreaterThan(REQUESTS * 0.1);
    expect(repeated.filter(({ replicas: [first, second] }) => first === second)).toEqual([]);
  });

  // Guards against second attempts at a replica that is known to fail most requests.
  it.each([1, 2, 3])('get few second attempts if they fail more than others: seed %d', (seed) => {
    const repeated = replay([0.9, 0.14, 0.14, 0.14], seed).filter(
      ({ replicas }) => replicas.length > 1,
    );
    const atWorst = repeated.filter(({ replicas }) => replicas[1] === 0);
    expect(atWorst.length / repeated.length).toBeLessThan(0.1);
    const failed = repeated.filter(({ hasFailed }) => hasFailed);
    expect(failed.length / repeated.length).toBeLessThan(0.25);
  });

  it('get hardly any requests if others fail none', () => {
    const failed = replay([0.9, 0, 0, 0], 1).filter(({ hasFailed }) => hasFailed);
    expect(failed.length).toBeLessThan(3);
  });
});
