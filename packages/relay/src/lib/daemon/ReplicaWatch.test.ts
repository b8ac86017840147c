import { ManualClock, createRandom } from '@apricotrill/utils';
import type { PlacementMessage } from '../decide/messages.js';
import { createEngineService, createReplica } from '../../test/fixtures.js';
import { cacheOptions } from '../follow/CacheFollower/CacheFollower.js';
import { ReplicaWatch } from './ReplicaWatch.js';

describe('ReplicaWatch', () => {
  // Symptom: daemons of a large fleet are busy with calls that engines refuse. Sequence: each
  // daemon asks each engine for its cache events; an engine takes a dozen listeners. Cause: who was
  // refused asked again and again.
  it('follows caches only while every daemon can', async () => {
    const asked: string[] = [];
    const told: PlacementMessage[] = [];
    const clock = new ManualClock();
    const service = createEngineService('llm');
    const watch = new ReplicaWatch({
      clock,
      random: createRandom(1),
      log: () => undefined,
      tell: (message) => told.push(message),
      caches: {
        readChanges: ({ id }) => {
          asked.push(id);
          return Promise.resolve({ kind: 'refused' });
        },
        list: () => Promise.reject(new Error('not asked for')),
      },
    });
    watch.setServices([{ ...service, engine: { ...service.engine!, cacheListeners: 12 } }]);
    watch.setReplicas([createReplica('e-1', { service: 'llm' })], 1);
    // Nothing before the number of daemons is known.
    expect(watch.followed).toBe(0);
    watch.setDaemons(12);
    expect(watch.followed).toBe(1);
    clock.advance(cacheOptions.interval);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(asked).toEqual(['e-1']);
    watch.setDaemons(13);
    expect(watch.followed).toBe(0);
    expect(told).toContainEqual({ kind: 'cache-lost', replica: 'e-1' });
    watch.dispose();
  });
});
