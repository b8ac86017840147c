import fc from 'fast-check';
import { createRandom } from '@apricotrill/utils';
import { createDelayGenerator } from '@apricotrill/standins';
import { PlacementWorld, worldOptions } from '../../test/PlacementHarness.js';
import type { Placements } from '../../test/PlacementHarness.js';

const RUNS = Number(process.env.FUZZ_RUNS ?? 60);
const SEED = Number(process.env.FUZZ_SEED ?? 4);
const REPLICAS = ['chat-1', 'chat-2', 'chat-3', 'draft-1', 'draft-2'];

/** The oracle's memory: what was accepted last. */
interface Accepted {
  placements: Placements;
}

type WorldCommand = fc.AsyncCommand<Accepted, PlacementWorld>;

function createCommand(
  name: string,
  act: (world: PlacementWorld, accepted: Accepted) => void | Promise<void>,
): WorldCommand {
  const run = async (accepted: Accepted, world: PlacementWorld) => act(world, accepted);
  return { check: () => true, run, toString: () => name };
}

const daemonIndex = fc.nat(2);
const replicaId = fc.constantFrom(...REPLICAS);
const names = fc.uniqueArray(fc.constantFrom('a@1', 'a@2', 'b:x@1'), { minLength: 1 });
const placementsArbitrary = fc
  .tuple(...REPLICAS.map(() => names))
  .map((lists) => Object.fromEntries(REPLICAS.map((id, index) => [id, [...lists[index]!].sort()])));

const advances = fc
  .integer({ min: 1, max: 30_000 })
  .map((span) => createCommand(`advance ${span}`, (world) => world.advance(span)));

const commandArbitraries: fc.Arbitrary<WorldCommand>[] = [
  // Three times as likely as any fault, so that faults meet daemons at work.
  advances,
  advances,
  advances,
  daemonIndex.map((index) =>
    createCommand(`pause ${index}`, (world) => world.daemons[index]!.clock.pause()),
  ),
  daemonIndex.map((index) =>
    createCommand(`resume ${index}`, (world) => world.daemons[index]!.clock.resume()),
  ),
  daemonIndex.map((index) =>
    createCommand(`restart ${index}`, (world) => world.daemons[index]!.restart()),
  ),
  fc.boolean().map((isDown) =>
    createCommand(`store ${isDown ? 'down' : 'up'}`, ({ store }) => {
      Object.assign(store, { isDown });
    }),
  ),
  fc.integer({ min: 1, max: 3 }).map((count) =>
    createCommand(`lose ${count} store answers`, ({ store }) => {
      Object.assign(store, { lostAnswers: count });
    }),
  ),
  replicaId.map((id) =>
    createCommand(`lose an answer of ${id}`, ({ engines }) => {
      Object.assign(engines.get(id)!, { lostAnswers: 1 });
    }),
  ),
  replicaId.map((id) => createCommand(`crash ${id}`, ({ engines }) => engines.get(id)!.crash())),
  fc.integer({ min: 1_000, max: 20_000 }).map((span) =>
    createCommand(`weight store full for ${span}`, ({ clock, weights }) => {
      Object.assign(weights, { refusesUntil: clock.now() + span });
    }),
  ),
  fc.constant(createCommand('delete the lease objects', ({ store }) => store.objects.clear())),
  placementsArbitrary.map((placements) =>
    createCommand(`edit ${JSON.stringify(placements)}`, (world, accepted) => {
      Object.assign(accepted, { placements });
      world.edit(placements, () => world.random.integer(3_000));
    }),
  ),
];

/** Ends every fault and gives the daemons time, as an operator would who waits. */
async function heal(world: PlacementWorld): Promise<void> {
  Object.assign(world.store, { isDown: false, lostAnswers: 0 });
  Object.assign(world.weights, { refusesUntil: 0 });
  Object.assign(world, { getDelay: () => 5 });
  world.engines.forEach((engine) => Object.assign(engine, { lostAnswers: 0 }));
  world.daemons.forEach(({ clock }) => clock.resume());
  await world.advance(300_000);
}

/** Every number belongs to a grant to its sender, and no engine that checks goes back to an older. */
function checkFencing(world: PlacementWorld): void {
  world.engines.forEach(({ arrivals, replica }) => {
    const taken = arrivals.filter(({ outcome }) => outcome === 'accepted');
    const places = taken.map(({ fencingNumber, sender, life }) => {
      const key = `leases/placement-${replica.service}`;
      const grant = world.store.grants.findIndex(
        (other) => other.key === key && other.version === fencingNumber && other.holder === sender,
      );
      return { life, grant };
    });
    expect(places.map(({ grant }) => grant)).not.toContain(-1);
    const sorted = [...places].sort((a, b) => a.life - b.life || a.grant - b.grant);
    expect(replica.checksFencing ? places : sorted).toEqual(sorted);
  });
}

/** In any stretch, no more loads are sent than the weight store's rate and one a service. */
function checkLoadRate(world: PlacementWorld): void {
  const times = world.decisions
    .filter((decision) => decision.kind === 'order-sent' && decision.order.kind === 'load')
    .map(({ at }) => at);
  const services = 2;
  times.forEach((start, first) => {
    times.slice(first).forEach((end, count) => {
      const allowed = ((end - start) / 1_000) * worldOptions.loadsPerSecond + services;
      expect(count + 1).toBeLessThanOrEqual(allowed + 1e-6);
    });
  });
}

describe('PlacementManager under faults', () => {
  /*
   * Symptom: engines left in a state nobody asked for, or taking orders of a holder long replaced.
   * Sequence: daemons freeze between any two steps and wake, calls are late or lose their answer,
   * the store goes down, engines crash, the weight store refuses, leases are deleted, edits race.
   * Cause: each guard of placement against one of these is needed in combination with the others.
   */
  it('ends in the state last accepted, with orders fenced and loads within the rate', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.integer(),
        placementsArbitrary,
        fc.commands(commandArbitraries, { maxCommands: 25, size: '+1' }),
        async (seed, placements, commands) => {
          const accepted: Accepted = { placements };
          const world = new PlacementWorld(placements, createDelayGenerator(createRandom(seed)));
          await fc.asyncModelRun(() => ({ model: accepted, real: world }), commands);
          await heal(world);
          expect(world.getLoaded()).toEqual(accepted.placements);
          checkFencing(world);
          checkLoadRate(world);
          world.daemons.forEach(({ manager }) => manager.dispose());
        },
      ),
      { numRuns: RUNS, seed: SEED },
    );
  }, 120_000);
});
