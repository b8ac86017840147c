import { ManualClock } from '@apricotrill/utils';
import { EngineBatch } from './EngineBatch.js';
import type { BatchEvent, EngineJob } from './EngineBatch.js';

function setUp(options = {}) {
  const clock = new ManualClock();
  const times = new Map<string, number>();
  const events: BatchEvent[] = [];
  const emit = (event: BatchEvent) => {
    events.push(event);
    if (event.kind !== 'cache') {
      times.set(
        `${event.id} ${event.kind} ${event.kind === 'token' ? event.index : ''}`,
        clock.now(),
      );
    }
  };
  const batch = new EngineBatch({ clock, options, emit });
  return { clock, batch, times, events };
}

function createJob(id: string, parts: Partial<EngineJob> = {}): EngineJob {
  const plain = { priority: 1, blocks: [], promptTokens: 10, startIndex: 0, outputTokens: 3 };
  return { id, ...plain, ...parts };
}

describe('EngineBatch', () => {
  it('takes longer per token the more requests run', () => {
    const { clock, batch, times } = setUp({ slots: 8 });
    batch.submit(createJob('alone'));
    clock.advance(1_000);
    const alone = times.get('alone finished ')! - times.get('alone token 0')!;
    Array.from({ length: 8 }, (_, index) => batch.submit(createJob(`crowd-${index}`)));
    clock.advance(1_000);
    const crowded = times.get('crowd-0 finished ')! - times.get('crowd-0 token 0')!;
    expect(crowded).toBeGreaterThan(alone);
  });

  it('generates the first token earlier for a cached prompt, but not for an evicted one', () => {
    const { clock, batch, times } = setUp({ cacheBlocks: 60 });
    const blocks = Array.from({ length: 50 }, (_, index) => index);
    const others = blocks.map((block) => block + 1_000);
    const getFirstToken = (id: string, chain: number[]) => {
      const begin = clock.now();
      batch.submit(createJob(id, { blocks: chain, promptTokens: 800 }));
      clock.advance(10_000);
      return times.get(`${id} token 0`)! - begin;
    };
    const cold = getFirstToken('cold', blocks);
    const warm = getFirstToken('warm', blocks);
    getFirstToken('other', others);
    const evicted = getFirstToken('evicted', blocks);
    expect(warm).toBeLessThan(cold);
    expect(evicted).toBeGreaterThan(warm);
  });

  it('reports its load with a lag and emits nothing while paused', () => {
    const { clock, batch, events } = setUp({ slots: 1, loadLag: 100 });
    batch.submit(createJob('a'));
    batch.submit(createJob('b'));
    expect(batch.getLoad()).toEqual({ running: 1, waiting: 1 });
    expect(batch.getReportedLoad().value).toEqual({ running: 0, waiting: 0 });
    batch.pause();
    clock.advance(100);
    expect(batch.getReportedLoad()).toEqual({ value: { running: 1, waiting: 1 }, measuredAt: 0 });
    expect(events).toEqual([{ kind: 'started', id: 'a', cachedTokens: 0 }]);
    batch.resume();
    clock.advance(1_000);
    expect(events.filter(({ kind }) => kind === 'finished')).toHaveLength(2);
  });
});
