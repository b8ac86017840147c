import { ManualClock, createRandom } from '@apricotrill/utils';
import { createReplica } from '../../../test/fixtures.js';
import { CacheFollower, cacheOptions } from './CacheFollower.js';
import type { CacheUpdate, CacheSource } from './CacheFollower.js';

const NOTHING: CacheUpdate & { kind: 'changes' } = {
  kind: 'changes',
  epoch: '1',
  next: '5',
  hasGap: false,
  changes: [],
};

describe('CacheFollower', () => {
  async function play(answers: (CacheUpdate | Error)[]) {
    const clock = new ManualClock();
    const log: string[] = [];
    const pending = [...answers];
    const source: CacheSource = {
      readChanges: (_replica, since) => {
        log.push(`read ${since ?? 'all'}`);
        const answer = pending.shift();
        return answer instanceof Error ? Promise.reject(answer) : Promise.resolve(answer!);
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
      },
    });
    follower.run().catch((error: unknown) => log.push(String(error)));
    const turns = answers.length;
    for (let turn = 0; turn < turns * 2; turn += 1) {
      clock.advance(cacheOptions.pause * 2);
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

  it('reads on from where it stopped', async () => {
    const change = { kind: 'added', part: 'p', tokens: 5, model: 'm' } as const;
    const log = await play([{ ...NOTHING, changes: [change] }, NOTHING]);
    expect(log.slice(0, 3)).toEqual(['read all', 'changes 1', 'read 5']);
  });

  // Symptom: requests go to an engine for a cache that it no longer has. Sequence: the engine
  // starts again, its events begin anew. Cause: what was believed of its earlier life was kept.
  it('forgets an earlier life of the engine, and lists what it keeps now', async () => {
    const log = await play([NOTHING, { ...NOTHING, epoch: '2' }, NOTHING]);
    expect(log.slice(0, 6)).toEqual([
      'read all',
      'changes 0',
      'read 5',
      'lost',
      'list',
      'listed: the engine started again',
    ]);
  });

  it('lists after a gap, and reads on behind the list', async () => {
    const log = await play([{ ...NOTHING, hasGap: true }, NOTHING]);
    expect(log.slice(0, 4)).toEqual(['read all', 'list', 'listed: events are missing', 'read 9']);
  });

  it('tells of an engine that gives no answer once, and goes on', async () => {
    const log = await play([new Error('cut'), new Error('cut'), NOTHING]);
    expect(log.filter((line) => line === 'failed')).toHaveLength(1);
    expect(log.filter((line) => line === 'read all').length).toBeGreaterThanOrEqual(3);
  });

  // Symptom: prompts go to an engine for parts that it lost. Sequence: it starts again under its
  // name and answers before the list of replicas says so. Cause: its new events were taken for those
  // of the life before.
  it('takes nothing that another life of the engine says', async () => {
    const change = { kind: 'added', part: 'p', tokens: 5, model: 'm' } as const;
    const log = await play([{ ...NOTHING, changes: [change] }, { kind: 'restarted' }, NOTHING]);
    expect(log.slice(0, 5)).toEqual(['read all', 'changes 1', 'read 5', 'lost', 'read all']);
  });
});
