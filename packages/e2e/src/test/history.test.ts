import { checkHistory } from './history.js';
import type { History } from './history.js';

const VALID_HISTORY: History = {
  calls: [
    { key: 'hold-1', requestId: 'a', end: { kind: 'answered', run: 1, isOwn: true } },
    { key: 'hold-1', requestId: 'b', end: { kind: 'answered', run: 1, isOwn: true } },
    {
      key: 'hold-2',
      requestId: 'c',
      end: { kind: 'refused', status: 503, outcome: 'not-run', type: 'x' },
    },
    { key: 'hold-2', requestId: 'd', end: { kind: 'answered', run: 2, isOwn: true } },
    { requestId: 'e', end: { kind: 'cut' } },
  ],
  runs: [
    { requestId: 'a/1', idempotencyKey: 'hold-1', completed: true },
    { requestId: 'd/1', idempotencyKey: 'hold-2', completed: true },
    { requestId: 'e/1', completed: false },
    { requestId: 'e/2', completed: true },
  ],
  versions: [{ daemon: 'daemon-1', generations: [1, 2, 2, 5] }],
};

describe('checkHistory', () => {
  it('accepts a history without violations', () => {
    expect(checkHistory(VALID_HISTORY)).toEqual([]);
  });

  // Guards against a checker that accepts anything, which would hide violations in every test.
  it.each<[string, Partial<History>, string]>([
    [
      'an answer of another request',
      { calls: [{ requestId: 'a', end: { kind: 'answered', run: 1, isOwn: false } }] },
      'a: the answer belongs to another request or is incomplete',
    ],
    [
      'answers of different runs to one key',
      {
        calls: [
          { key: 'hold-1', end: { kind: 'answered', run: 1, isOwn: true } },
          { key: 'hold-1', end: { kind: 'answered', run: 3, isOwn: true } },
        ],
      },
      'hold-1: answers of the runs 1 and 3',
    ],
    [
      'a second run of one key',
      {
        runs: [
          ...VALID_HISTORY.runs,
          { requestId: 'f/1', idempotencyKey: 'hold-1', completed: false },
        ],
      },
      'hold-1: ran 2 times',
    ],
    [
      'a run of a request that was reported as not run',
      { runs: [...VALID_HISTORY.runs, { requestId: 'c/1', completed: false }] },
      'hold-2: reported as not run, but it ran',
    ],
    [
      'an older version after a newer one',
      { versions: [{ daemon: 'daemon-1', generations: [2, 1] }] },
      'daemon-1: generation 1 after 2',
    ],
  ])('finds %s', (_title, change, violation) => {
    expect(checkHistory({ ...VALID_HISTORY, ...change })).toEqual([violation]);
  });
});
