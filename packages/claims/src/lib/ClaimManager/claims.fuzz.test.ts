import fc from 'fast-check';
import { claimCommands } from '../../test/claimCommands.js';
import { ClaimWorld } from '../../test/ClaimWorld.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 400);

const SEED = 1;

describe('claims of several daemons under faults', () => {
  // Four daemons claim keys while messages are delivered in any order or lost, the store goes down
  // or loses confirmations, daemons pause, crash and restart, and views of the members differ. No
  // interleaving may let two owners, or one owner twice, grant the same key, or give a caller the
  // response to another request.
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
