import fc from 'fast-check';
import { clusterCommands } from '../../test/clusterCommands.js';
import { ClusterWorld } from '../../test/ClusterWorld.js';

const RUNS = Number(process.env.APRICOTRILL_FUZZ_RUNS ?? 16);
const SEED = Number(process.env.APRICOTRILL_FUZZ_SEED ?? 20_261);

describe('ClusterCore with message loss, delays, partitions, crashes, process pauses and store faults', () => {
  it('keeps its invariants at all times, and converges after the faults have ended', () => {
    fc.assert(
      fc.property(fc.nat(), clusterCommands, (seed, commands) => {
        const world = new ClusterWorld(seed);
        try {
          fc.modelRun(() => ({ model: {}, real: world }), commands);
          world.settle();
          world.checkSettled();
        } finally {
          world.cluster.dispose();
        }
      }),
      { seed: SEED, numRuns: RUNS },
    );
  }, 1_200_000);
});
