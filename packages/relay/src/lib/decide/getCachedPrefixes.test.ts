import { createRandom } from '@apricotrill/utils';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../test/fixtures.js';
import { CoreHarness } from '../../test/CoreHarness.js';
import { EngineLessons } from './PrefillEstimator/EngineStatistics.js';
import { getHoldings } from './getCachedPrefixes.js';
import { placementOptions } from './placementOptions.js';
import { ReplicaState } from './ReplicaState/ReplicaState.js';

const ENGINES = createEngines(12);

const LEARNED = new EngineLessons();

function createPromptOf(session: string, own: string) {
  return createPrompt([
    ['catalogue', 2_500],
    [session, 3_800],
    [own, 2_900],
  ]);
}

describe('getHoldings', () => {
  const states = ENGINES.map((replica) => new ReplicaState(replica, placementOptions, LEARNED));

  it('takes engines that were never heard for homes of their sessions', () => {
    const holdings = [...getHoldings(createPromptOf('s-1', 'own'), states, states[3], 0).values()];
    const cached = holdings.map((holding) => holding.cached).sort((left, right) => right - left);
    expect(cached.slice(0, 3)).toEqual([6_300, 2_500, 2_500]);
  });

  it('believes engines that tell what they keep', () => {
    const told = ENGINES.map((replica) => new ReplicaState(replica, placementOptions, LEARNED));
    told.forEach(({ cache }) => cache.replace([]));
    const holdings = [...getHoldings(createPromptOf('s-1', 'own'), told, told[3], 0).values()];
    expect(holdings.every(({ cached, copyable }) => cached === 0 && copyable === 0)).toBe(true);
  });
});

describe('many daemons that engines do not tell what they cache', () => {
  // Load pattern: forty daemons, each of which sees a request of a session now and then, with waits
  // at the engines that differ from daemon to daemon. Taken for empty, an engine that a session
  // lives at is left for any other with a shorter wait, and the history is read again there.
  it('keep sessions at one engine though their waits differ', () => {
    const random = createRandom(7);
    const places = new Map<string, Map<string, number>>();
    for (let daemon = 0; daemon < 40; daemon += 1) {
      const harness = new CoreHarness([createEngineService('llm')], ENGINES);
      // What this daemon sent before: up to 100 ms of reading at each engine.
      for (let index = 0; index < 20; index += 1) {
        const session = `s-${random.integer(30)}`;
        const id = `d-${daemon}/${index}`;
        const prompt = createPromptOf(session, id);
        harness.submit(createRequest(id, { service: 'llm', prompt, deadline: 5_000 }));
        const [engine] = harness.getReplicas(id);
        const counts = places.get(session) ?? new Map<string, number>();
        places.set(session, counts.set(engine!, (counts.get(engine!) ?? 0) + 1));
        harness.clock.advance(random.integer(100));
      }
    }
    const all = [...places.values()].map((counts) => [...counts.values()]);
    const total = all.flat().reduce((sum, count) => sum + count, 0);
    const athome = all.reduce((sum, counts) => sum + Math.max(...counts), 0);
    expect(athome / total).toBeGreaterThan(0.8);
  });
});
