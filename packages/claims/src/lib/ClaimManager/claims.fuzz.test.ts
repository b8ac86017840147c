import fc from 'fast-check';
import { claimCommands } from '../../test/claimCommands.js';
import { ClaimWorld } from '../../test/ClaimWorld.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 400);

const SEED = 1;

describe('claims of several daemons under faults', () => {
  // Symptom: an order held twice, or a caller told of an answer that is not its own.
  // Sequence: claims at four daemons while messages are delivered in any order or lost, the store
  // goes down or loses confirmations, daemons pause, crash and restart, and views disagree.
  // Cause looked for: any interleaving in which two owners, or one owner twice, grant a key.
  it('grant a key at most once, and work again once the faults have ended', async () => {
    const property = fc.asyncProperty(
      fc.scheduler(),
      claimCommands,
      async (scheduler, commands) => {
        const world = new ClaimWorld(scheduler);
        await world.start();
        await fc.asyncModelRun(() => ({ model: {}, real: world }), commands);
        await world.recover();
        world.check();
        const [first, second] = world.cluster.daemons;
        const granted = await world.cluster.ask(first!, 'after');
        expect(granted.kind).toBe('granted');
        expect((await world.cluster.ask(second!, 'after')).kind).toBe('in-progress');
      },
    );
    await fc.assert(property, { numRuns: RUNS, seed: SEED, endOnFailure: true });
  }, 600_000);
});
