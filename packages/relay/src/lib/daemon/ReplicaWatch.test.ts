import { ManualClock, createRandom } from '@apricotrill/utils';
import type { PlacementMessage } from '../decide/messages.js';
import { createEngineService, createReplica } from '../../test/fixtures.js';
import { cacheFollowerOptions } from '../follow/CacheFollower/CacheFollower.js';
import { ReplicaWatch } from './ReplicaWatch.js';

describe('ReplicaWatch', () => {
  // Guards against a large fleet that spends its time on refused calls: every daemon requested the
  // cache events of every engine, an engine accepts a dozen listeners, and refused calls were retried.
  it('follows caches only if engines accept every daemon as a listener', async () => {
    const requested: string[] = [];
    const messages: PlacementMessage[] = [];
    const clock = new ManualClock();
    const service = createEngineService('llm');
    const watch = new ReplicaWatch({
      clock,
      random: createRandom(1),
      log: () => undefined,
      dispatch: (message) => messages.push(message),
      caches: {
        readChanges: ({ id }) => {
          requested.push(id);
          return Promise.resolve({ kind: 'refused' });
        },
        list: () => Promise.reject(new Error('not expected')),
      },
    });
    watch.setServices([{ ...service, engine: { ...service.engine!, cacheListeners: 12 } }]);
    watch.setReplicas([createReplica('e-1', { service: 'llm' })], 1);
    // No cache is followed until the number of daemons is known.
    expect(watch.followedCount).toBe(0);
    watch.setDaemonCount(12);
    expect(watch.followedCount).toBe(1);
    clock.advance(cacheFollowerOptions.minInterval);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(requested).toEqual(['e-1']);
    watch.setDaemonCount(13);
    expect(watch.followedCount).toBe(0);
    expect(messages).toContainEqual({ kind: 'cache-lost', replica: 'e-1' });
    watch.dispose();
  });
});
