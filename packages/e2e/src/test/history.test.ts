import { checkHistory } from './history.js';
import type { History } from './history.js';

const FINE: History = {
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
  it('accepts a history in which all promises held', () => {
    expect(checkHistory(FINE)).toEqual([]);
  });

  // Symptom: a broken promise goes unnoticed in every test. Cause: a checker that accepts anything.
  it.each<[string, Partial<History>, string]>([
    [
      'an answer of another request',
      { calls: [{ requestId: 'a', end: { kind: 'answered', run: 1, isOwn: false } }] },
      'a: the answer is not its own or not whole',
    ],
    [
      'two answers to one key',
      {
        calls: [
          { key: 'hold-1', end: { kind: 'answered', run: 1, isOwn: true } },
          { key: 'hold-1', end: { kind: 'answered', run: 3, isOwn: true } },
        ],
      },
      'hold-1: answers of the runs 1 and 3',
    ],
    [
      'a second run',
      { runs: [...FINE.runs, { requestId: 'f/1', idempotencyKey: 'hold-1', completed: false }] },
      'hold-1: ran 2 times',
    ],
    [
      'a run of what was told not to have run',
      { runs: [...FINE.runs, { requestId: 'c/1', completed: false }] },
      'hold-2: answered "not run", and it ran',
    ],
    [
      'an older version after a newer one',
      { versions: [{ daemon: 'daemon-1', generations: [2, 1] }] },
      'daemon-1: generation 1 after 2',
    ],
  ])('finds %s', (_what, change, violation) => {
    expect(checkHistory({ ...FINE, ...change })).toEqual([violation]);
  });
});
