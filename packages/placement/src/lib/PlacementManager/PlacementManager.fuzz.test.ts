import fc from 'fast-check';
import { createRandom } from '@apricotrill/utils';
import { createDelayGenerator } from '@apricotrill/standins';
import { PlacementHarness, harnessOptions } from '../../test/PlacementHarness.js';
import type { Placements } from '../../test/PlacementHarness.js';

const RUNS = Number(process.env.FUZZ_RUNS ?? 60);
const SEED = Number(process.env.FUZZ_SEED ?? 4);
const REPLICAS = ['chat-1', 'chat-2', 'chat-3', 'draft-1', 'draft-2'];

/** The model state of the test: the placements accepted last. */
interface AcceptedState {
  placements: Placements;
}

type HarnessCommand = fc.AsyncCommand<AcceptedState, PlacementHarness>;

function createCommand(
  name: string,
  action: (harness: PlacementHarness, acceptedState: AcceptedState) => void | Promise<void>,
): HarnessCommand {
  const run = async (acceptedState: AcceptedState, harness: PlacementHarness) =>
    action(harness, acceptedState);
  return { check: () => true, run, toString: () => name };
}

const daemonIndex = fc.nat(2);
const replicaId = fc.constantFrom(...REPLICAS);
const nameSets = fc.uniqueArray(fc.constantFrom('a@1', 'a@2', 'b:x@1'), { minLength: 1 });
const placementsArbitrary = fc
  .tuple(...REPLICAS.map(() => nameSets))
  .map((lists) => Object.fromEntries(REPLICAS.map((id, index) => [id, [...lists[index]!].sort()])));

const advances = fc
  .integer({ min: 1, max: 30_000 })
  .map((duration) => createCommand(`advance ${duration}`, (harness) => harness.advance(duration)));

const commandArbitraries: fc.Arbitrary<HarnessCommand>[] = [
  // Listed three times, so that faults hit daemons that are working.
  advances,
  advances,
  advances,
  daemonIndex.map((index) =>
    createCommand(`pause ${index}`, (harness) => harness.daemons[index]!.clock.pause()),
  ),
  daemonIndex.map((index) =>
    createCommand(`resume ${index}`, (harness) => harness.daemons[index]!.clock.resume()),
  ),
  daemonIndex.map((index) =>
    createCommand(`restart ${index}`, (harness) => harness.daemons[index]!.restart()),
  ),
  fc.boolean().map((isDown) =>
    createCommand(`store ${isDown ? 'down' : 'up'}`, ({ store }) => {
      Object.assign(store, { isDown });
    }),
  ),
  fc.integer({ min: 1, max: 3 }).map((count) =>
    createCommand(`lose ${count} store responses`, ({ store }) => {
      Object.assign(store, { lostResponses: count });
    }),
  ),
  replicaId.map((id) =>
    createCommand(`lose a response of ${id}`, ({ engines }) => {
      Object.assign(engines.get(id)!, { lostResponses: 1 });
    }),
  ),
  replicaId.map((id) => createCommand(`crash ${id}`, ({ engines }) => engines.get(id)!.crash())),
  fc.integer({ min: 1_000, max: 20_000 }).map((duration) =>
    createCommand(`weight store full for ${duration}`, ({ clock, weights }) => {
      Object.assign(weights, { rateLimitedUntil: clock.now() + duration });
    }),
  ),
  fc.constant(createCommand('delete the lease objects', ({ store }) => store.objects.clear())),
  placementsArbitrary.map((placements) =>
    createCommand(`edit ${JSON.stringify(placements)}`, (harness, acceptedState) => {
      Object.assign(acceptedState, { placements });
      harness.changePlacements(placements, () => harness.random.integer(3_000));
    }),
  ),
];

/** Ends all faults and gives the daemons time to converge. */
async function heal(harness: PlacementHarness): Promise<void> {
  Object.assign(harness.store, { isDown: false, lostResponses: 0 });
  Object.assign(harness.weights, { rateLimitedUntil: 0 });
  Object.assign(harness, { getDelay: () => 5 });
  harness.engines.forEach((engine) => Object.assign(engine, { lostResponses: 0 }));
  harness.daemons.forEach(({ clock }) => clock.resume());
  await harness.advance(300_000);
}

/**
 * Checks that every fencing number was granted to its sender, and that no engine that checks
 * fencing numbers accepts an older one after a newer one.
 */
function checkFencing(harness: PlacementHarness): void {
  harness.engines.forEach(({ receivedOrders, replica }) => {
    const acceptedOrders = receivedOrders.filter(({ outcome }) => outcome === 'accepted');
    const ordering = acceptedOrders.map(({ fencingNumber, sender, restartCount }) => {
      const key = `leases/placement-${replica.service}`;
      const grant = harness.store.grants.findIndex(
        (other) => other.key === key && other.version === fencingNumber && other.holder === sender,
      );
      return { restartCount, grant };
    });
    expect(ordering.map(({ grant }) => grant)).not.toContain(-1);
    const sorted = [...ordering].sort(
      (a, b) => a.restartCount - b.restartCount || a.grant - b.grant,
    );
    expect(replica.checksFencing ? ordering : sorted).toEqual(sorted);
  });
}

/** Checks that loads in any interval stay within the rate, plus one per service. */
function checkLoadRate(harness: PlacementHarness): void {
  const times = harness.events
    .filter((event) => event.kind === 'order-sent' && event.order.kind === 'load')
    .map(({ at }) => at);
  const services = 2;
  times.forEach((start, first) => {
    times.slice(first).forEach((end, count) => {
      const allowed = ((end - start) / 1_000) * harnessOptions.loadsPerSecond + services;
      expect(count + 1).toBeLessThanOrEqual(allowed + 1e-6);
    });
  });
}

describe('PlacementManager under faults', () => {
  /*
   * Guards against faults that only occur in combination: daemons pause between any two steps,
   * calls are delayed or lose their response, the store is down, engines crash, the weight store
   * rate limits loads, leases are deleted and edits race. Engines could be left in a state that was
   * never accepted, or accept orders of a replaced holder.
   */
  it('reaches the state accepted last, with orders fenced and loads within the rate', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        placementsArbitrary,
        fc.commands(commandArbitraries, { maxCommands: 25, size: '+1' }),
        async (seed, placements, commands) => {
          const acceptedState: AcceptedState = { placements };
          const harness = new PlacementHarness(
            placements,
            createDelayGenerator(createRandom(seed)),
          );
          await fc.asyncModelRun(() => ({ model: acceptedState, real: harness }), commands);
          await heal(harness);
          expect(harness.getLoaded()).toEqual(acceptedState.placements);
          checkFencing(harness);
          checkLoadRate(harness);
          harness.daemons.forEach(({ manager }) => manager.dispose());
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  }, 120_000);
});
