import { createRandom } from '@apricotrill/utils';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../test/fixtures.js';
import { CoreHarness } from '../../test/CoreHarness.js';
import { EngineStatistics } from './PrefillEstimator/EngineStatistics.js';
import { getCachedPrefixes } from './getCachedPrefixes.js';
import { placementOptions } from './placementOptions.js';
import { ReplicaState } from './ReplicaState/ReplicaState.js';

const ENGINES = createEngines(12);

const STATISTICS = new EngineStatistics();

function createPromptOf(session: string, own: string) {
  return createPrompt([
    ['catalogue', 2_500],
    [session, 3_800],
    [own, 2_900],
  ]);
}

describe('getCachedPrefixes', () => {
  const states = ENGINES.map((replica) => new ReplicaState(replica, placementOptions, STATISTICS));

  it('assumes that engines with an unknown cache have cached the sessions whose home they are', () => {
    const prefixes = [
      ...getCachedPrefixes(createPromptOf('s-1', 'own'), states, states[3], 0).values(),
    ];
    const cached = prefixes.map((prefix) => prefix.cached).sort((left, right) => right - left);
    expect(cached.slice(0, 3)).toEqual([6_300, 2_500, 2_500]);
  });

  it('assumes nothing about engines that have reported their cache', () => {
    const reported = ENGINES.map(
      (replica) => new ReplicaState(replica, placementOptions, STATISTICS),
    );
    reported.forEach(({ cache }) => cache.replace([]));
    const prefixes = [
      ...getCachedPrefixes(createPromptOf('s-1', 'own'), reported, reported[3], 0).values(),
    ];
    expect(prefixes.every(({ cached, copyable }) => cached === 0 && copyable === 0)).toBe(true);
  });
});

describe('many daemons without cache reports from the engines', () => {
  // Load pattern: each of forty daemons sees few requests of a session, and expects different waits
  // at the engines. If unknown caches count as empty, a session leaves its engine for any other
  // with a shorter wait, and its history is prefilled again there.
  it('keep a session on one engine although they expect different waits', () => {
    const random = createRandom(7);
    const sessions = new Map<string, Map<string, number>>();
    for (let daemon = 0; daemon < 40; daemon += 1) {
      const harness = new CoreHarness([createEngineService('llm')], ENGINES);
      // The daemon's earlier requests cause up to 100 ms of prefill on each engine.
      for (let index = 0; index < 20; index += 1) {
        const session = `s-${random.integer(30)}`;
        const id = `d-${daemon}/${index}`;
        const prompt = createPromptOf(session, id);
        harness.submit(createRequest(id, { service: 'llm', prompt, deadline: 5_000 }));
        const [engine] = harness.getAttemptedReplicas(id);
        const counts = sessions.get(session) ?? new Map<string, number>();
        sessions.set(session, counts.set(engine!, (counts.get(engine!) ?? 0) + 1));
        harness.clock.advance(random.integer(100));
      }
    }
    const all = [...sessions.values()].map((counts) => [...counts.values()]);
    const total = all.flat().reduce((sum, count) => sum + count, 0);
    const largest = all.reduce((sum, counts) => sum + Math.max(...counts), 0);
    expect(largest / total).toBeGreaterThan(0.8);
  });
});
