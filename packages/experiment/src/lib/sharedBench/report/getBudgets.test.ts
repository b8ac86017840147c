import { CHANGES_PER_SECOND } from '../../capacity/twoYearSize.js';
import { getSpread } from '../../report/getSpread.js';
import type { SizeReading } from '../SharedReading.js';
import { getBudgets } from './getBudgets.js';

const some = (value: number) => getSpread([value]);

const NO_CALLS = { reads: some(0), writes: some(0), watches: some(0) };

const SIZE: SizeReading = {
  daemons: 3,
  zones: 3,
  load: { before: 0, after: 0 },
  idle: {
    core: some(0.01),
    meshBytes: some(1000),
    meshBytesByTopic: {},
    meshMessages: some(4),
    platformBytes: some(500),
    ioBytes: some(4000),
    calls: NO_CALLS,
    waitingWatches: 3,
    events: {},
    residentBytes: some(80 * 2 ** 20),
    anonymousBytes: some(0),
    heapBytes: some(0),
  },
  changes: {
    changes: 1,
    missed: 0,
    middle: some(10),
    worst: some(20),
    latencies: [10, 20],
    calls: NO_CALLS,
    operatorCalls: some(4),
    meshBytes: some(2000),
    platformBytes: some(3000),
    ioBytes: some(-1),
    processorTime: some(100),
    events: {},
  },
};

const ALONE = { residentBytes: 70 * 2 ** 20, anonymousBytes: 0, core: 0.008 };

describe('getBudgets', () => {
  it('adds changes at their rate, and takes off what a daemon alone costs', () => {
    const lines = getBudgets(SIZE, { runtime: ALONE, lone: ALONE });
    const getValue = (name: string) => lines.find((line) => line.name === name)?.value;
    expect(getValue('core, whole daemon')).toBeCloseTo(0.01 + CHANGES_PER_SECOND * 0.1);
    expect(getValue('bytes/s, messages')).toBeCloseTo(1500 + CHANGES_PER_SECOND * 5000);
    // Less than idle is noise, no gain.
    expect(getValue('bytes/s, all read and written')).toBe(4000);
    expect(getValue('memory, above a daemon alone')).toBe(10 * 2 ** 20);
  });
});
