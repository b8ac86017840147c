import { CallKind } from './CallRecord.js';
import type { CallEnd, CallRecord } from './CallRecord.js';
import { judgeCalls, judgeRuns } from './judgeHandOver.js';

function getRecord(
  kind: CallKind,
  end: CallEnd,
  facts: { key?: string; requestId?: string } = {},
): CallRecord {
  return { kind, startedAt: 0, span: 10, end, ...facts };
}

const NOT_RUN: CallEnd = { kind: 'refused', status: 503, outcome: 'not-run', reason: 'given-up' };

describe('judgeCalls', () => {
  it('counts each end by kind, and names the failures', () => {
    const { kinds, failures } = judgeCalls([
      getRecord(CallKind.Check, { kind: 'answered', isOwn: true }),
      getRecord(CallKind.Check, { kind: 'answered', isOwn: false }),
      getRecord(CallKind.Check, { kind: 'lost', error: 'reset' }),
      getRecord(CallKind.Chat, { kind: 'cut', error: 'reset' }),
      getRecord(CallKind.Chat, NOT_RUN),
      getRecord(CallKind.Chat, NOT_RUN),
    ]);
    expect(kinds[CallKind.Check]).toMatchObject({ asked: 3, answered: 2, wrong: 1, lost: 1 });
    expect(kinds[CallKind.Chat]).toMatchObject({ asked: 3, answered: 0, cut: 1, refused: 2 });
    expect(kinds[CallKind.Hold]).toBeUndefined();
    expect(failures).toEqual({
      'check: not its own answer': 1,
      'check: lost, reset': 1,
      'chat: cut, reset': 1,
      'chat: refused 503 given-up, not-run': 2,
    });
  });
});

describe('judgeRuns', () => {
  it('finds nothing when each key ran once and every answer is of its run', () => {
    const verdict = judgeRuns(
      [
        getRecord(CallKind.Hold, { kind: 'answered', isOwn: true, run: 'a/1' }, { key: 'k' }),
        getRecord(CallKind.HoldAgain, { kind: 'answered', isOwn: true, run: 'a/1' }, { key: 'k' }),
        getRecord(CallKind.Chat, { kind: 'answered', isOwn: true, tokens: 8 }),
        getRecord(CallKind.Check, NOT_RUN, { requestId: 'c' }),
      ],
      [
        { idempotencyKey: 'k', requestId: 'a/1' },
        { requestId: 'b/1', tokens: 10 },
      ],
    );
    expect(verdict).toEqual({
      doubled: 0,
      ranThoughRefused: 0,
      strangeAnswers: 0,
      computedTokens: 10,
      usefulTokens: 8,
    });
  });

  it('finds a key that ran twice, and that an answer is of another run', () => {
    const { doubled, strangeAnswers } = judgeRuns(
      [getRecord(CallKind.Hold, { kind: 'answered', isOwn: true, run: 'a/1' }, { key: 'k' })],
      [
        { idempotencyKey: 'k', requestId: 'a/1' },
        { idempotencyKey: 'k', requestId: 'b/1' },
      ],
    );
    expect({ doubled, strangeAnswers }).toEqual({ doubled: 1, strangeAnswers: 1 });
  });

  it('finds a request that ran although its caller was told that it did not', () => {
    const refused = getRecord(CallKind.Hold, NOT_RUN, { key: 'k', requestId: 'a' });
    const { ranThoughRefused } = judgeRuns([refused], [{ idempotencyKey: 'k', requestId: 'a/2' }]);
    expect(ranThoughRefused).toBe(1);
  });
});
