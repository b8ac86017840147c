import { ManualClock } from '@apricotrill/utils';
import { memoryOptions } from '../memoryOptions.js';
import { ProcessMemory } from './ProcessMemory.js';

const { nearShare, readInterval, reopenShare } = memoryOptions;

const LIMIT = 1_000;

describe('ProcessMemory', () => {
  let clock: ManualClock;
  let rss: number;
  let reads: number;
  let changes: [boolean, number][];
  let memory: ProcessMemory;

  beforeEach(() => {
    clock = new ManualClock();
    rss = 0;
    reads = 0;
    changes = [];
    memory = new ProcessMemory({
      clock,
      limit: LIMIT,
      readRss: () => {
        reads += 1;
        return rss;
      },
    });
    memory.onChanged((isNear, use) => changes.push([isNear, use.rss]));
  });

  function readLater(bytes: number): void {
    rss = bytes;
    clock.advance(readInterval);
    expect(memory.rss).toBe(bytes);
  }

  it('reads the memory of the process only now and then', () => {
    expect(memory.rss).toBe(0);
    rss = 1;
    clock.advance(readInterval - 1);
    expect(memory.rss).toBe(0);
    clock.advance(1);
    expect(memory.rss).toBe(1);
    expect(reads).toBe(2);
  });

  // Guards against a process that is killed and whose log does not say that it was near its limit.
  it('reports once that the process comes near its limit, and that it no longer is', () => {
    const near = LIMIT * nearShare;
    readLater(near);
    readLater(near + 1);
    readLater(near + 2);
    readLater(near);
    readLater(near * reopenShare);
    readLater(near);
    expect(changes).toEqual([
      [true, near + 1],
      [false, near * reopenShare],
    ]);
  });
});
