import { ManualClock, createRandom } from '@apricotrill/utils';
import { createReplica } from '../../../test/fixtures.js';
import { CacheFollower, cacheFollowerOptions } from './CacheFollower.js';
import type { CacheListener, CacheUpdate, CacheSource } from './CacheFollower.js';

const NO_CHANGES: CacheUpdate & { kind: 'changes' } = {
  kind: 'changes',
  epoch: '1',
  next: '5',
  hasGap: false,
  changes: [],
};

describe('CacheFollower', () => {
  /** Runs a follower on a source with these responses, and returns a log of calls and callbacks. */
  async function run(responses: (CacheUpdate | Error)[], overrides: Partial<CacheListener> = {}) {
    const clock = new ManualClock();
    const log: string[] = [];
    const pending = [...responses];
    const source: CacheSource = {
      readChanges: (_replica, since) => {
        log.push(`read ${since ?? 'all'}`);
        const response = pending.shift();
        return response instanceof Error ? Promise.reject(response) : Promise.resolve(response!);
      },
      list: () => {
        log.push('list');
        return Promise.resolve({ kind: 'listed', epoch: '2', next: '9', parts: [] });
      },
    };
    const follower = new CacheFollower({
      source,
      replica: createReplica('e-1'),
      clock,
      random: createRandom(1),
      listener: {
        onChanges: (changes) => log.push(`changes ${changes.length}`),
        onListed: (_parts, reason) => log.push(`listed: ${reason}`),
        onLost: () => log.push('lost'),
        onFailed: () => log.push('failed'),
        onFault: () => log.push('fault'),
        ...overrides,
      },
    });
    follower.run().catch((error: unknown) => log.push(String(error)));
    const turns = responses.length;
    for (let turn = 0; turn < turns * 2; turn += 1) {
      clock.advance(cacheFollowerOptions.retryDelay * 2);
      // eslint-disable-next-line no-await-in-loop
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      if (pending.length === 0) {
        follower.dispose();
      }
    }
    return log;
  }

  it('continues reading at the last position', async () => {
    const change = { kind: 'added', part: 'p', tokens: 5, model: 'm' } as const;
    const log = await run([{ ...NO_CHANGES, changes: [change] }, NO_CHANGES]);
    expect(log.slice(0, 3)).toEqual(['read all', 'changes 1', 'read 5']);
  });

  // Guards against requests that are sent to an engine for cache content it has lost in a restart:
  // its events start over, while what was known from before the restart was kept.
  it('discards the known cache after a restart of the engine, and lists the cache again', async () => {
    const log = await run([NO_CHANGES, { ...NO_CHANGES, epoch: '2' }, NO_CHANGES]);
    expect(log.slice(0, 6)).toEqual([
      'read all',
      'changes 0',
      'read 5',
      'lost',
      'list',
      'listed: the engine restarted',
    ]);
  });

  it('lists after a gap, and continues reading after the list', async () => {
    const log = await run([{ ...NO_CHANGES, hasGap: true }, NO_CHANGES]);
    expect(log.slice(0, 4)).toEqual(['read all', 'list', 'listed: events were missed', 'read 9']);
  });

  it('reports a failing engine once, and keeps trying', async () => {
    const log = await run([new Error('cut'), new Error('cut'), NO_CHANGES]);
    expect(log.filter((line) => line === 'failed')).toHaveLength(1);
    expect(log.filter((line) => line === 'read all').length).toBeGreaterThanOrEqual(3);
  });

  // Guards against prompts that are sent to an engine for parts it has lost: it restarted under the
  // same name, and its new events were treated as a continuation of the earlier ones because the list
  // of replicas did not show the restart yet.
  it('ignores the events of a restarted engine that is not listed yet', async () => {
    const change = { kind: 'added', part: 'p', tokens: 5, model: 'm' } as const;
    const log = await run([
      { ...NO_CHANGES, changes: [change] },
      { kind: 'restarted' },
      NO_CHANGES,
    ]);
    expect(log.slice(0, 5)).toEqual(['read all', 'changes 1', 'read 5', 'lost', 'read all']);
  });

  describe('after an error of its listener', () => {
    const change = { kind: 'added', part: 'p', tokens: 5, model: 'm' } as const;

    function fail(): never {
      throw new Error('provoked error');
    }

    // Guards against changes of a cache that are missing for good.
    it('lists the cache', async () => {
      const responses = [NO_CHANGES, { ...NO_CHANGES, next: '6', changes: [change] }, NO_CHANGES];
      const onChanges = (changes: unknown[]) => (changes.length > 0 ? fail() : undefined);
      const log = await run(responses, { onChanges });
      expect(log.slice(0, 5)).toEqual([
        'read all',
        'read 5',
        'fault',
        'list',
        'listed: an update could not be handled',
      ]);
      expect(log).toContain('read 9');
    });

    // Guards against a cache that is followed no more.
    it('goes on', async () => {
      const log = await run([new Error('no response'), NO_CHANGES], { onFailed: fail });
      expect(log).toEqual(['read all', 'fault', 'read all', 'changes 0']);
    });
  });
});
