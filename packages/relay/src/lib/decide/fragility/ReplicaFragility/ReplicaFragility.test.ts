import { CoreHarness } from '../../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../../test/fixtures.js';
import { AttemptEnd } from '../../messages.js';
import { fragilityOptions } from '../fragilityOptions.js';

const THRESHOLD = 4;

const SLOTS = 2;

function createHarness(): CoreHarness {
  const replicas = ['a', 'b'].map((id) => createReplica(id, { slots: SLOTS }));
  return new CoreHarness([createService('app')], replicas);
}

function state(harness: CoreHarness, replica: string, count: number | undefined): void {
  harness.core.handle({
    kind: 'threshold',
    replica,
    sentAt: harness.clock.now(),
    threshold: count === undefined ? undefined : { kind: 'count', count },
  });
}

/** Submits requests that are not retried. @returns the IDs of those that were sent */
function submit(harness: CoreHarness, count: number, prefix: string): string[] {
  const ids = Array.from({ length: count }, (_item, index) => `${prefix}-${index}`);
  const times = { latencyTarget: 30_000, deadline: 60_000 };
  ids.forEach((id) => harness.submit(createRequest(id, { maxAttempts: 1, ...times })));
  const sent = new Set(harness.getEffects('send').map(({ id }) => id));
  return ids.filter((id) => sent.has(id));
}

describe('ReplicaFragility', () => {
  it('fills the slots of fragile replicas and no more; the rest waits, and is sent as slots free up', () => {
    const harness = createHarness();
    state(harness, 'a', THRESHOLD);
    expect(submit(harness, 6, 'r')).toHaveLength(2 * SLOTS);
    harness.end('r-0', 1, AttemptEnd.Completed);
    expect(harness.getEffects('send')).toHaveLength(2 * SLOTS + 1);
  });

  it('rejects what exceeds the room for waiting requests, with a time to come back', () => {
    const harness = createHarness();
    state(harness, 'a', THRESHOLD);
    submit(harness, 2 * SLOTS * (1 + fragilityOptions.waitingRatio) + 3, 'r');
    const rejected = harness.getEffects('give-up');
    expect(rejected).toHaveLength(3);
    rejected.forEach(({ retryAfter }) => expect(retryAfter).toBeGreaterThan(0));
  });

  // Guards against the rejections that make a replica fall over.
  it('sends nothing for a second to a replica that has turned away half of its threshold', () => {
    const harness = createHarness();
    state(harness, 'a', THRESHOLD);
    state(harness, 'b', THRESHOLD);
    const peer = { kind: 'peer-update' as const, peer: 'd-2' };
    harness.core.handle({ ...peer, update: { kind: 'turned-away', replica: 'a' } });
    harness.core.handle({ ...peer, update: { kind: 'turned-away', replica: 'a' } });
    submit(harness, 4, 'held');
    expect(harness.getEffects('send').map(({ replica }) => replica.id)).toEqual(['b', 'b']);
    harness.clock.advance(fragilityOptions.window + 200);
    expect(harness.getEffects('send')).toHaveLength(4);
  });

  it('tells the other daemons of statements and rejections, and applies theirs', () => {
    const harness = createHarness();
    state(harness, 'a', THRESHOLD);
    submit(harness, 2, 'r');
    const [first] = harness.getEffects('send');
    harness.end(first!.id, 1, AttemptEnd.Refused);
    const shared = harness.getEffects('share').map(({ update }) => update);
    expect(shared).toContainEqual({
      kind: 'fragile',
      replicas: [{ replica: 'a', threshold: THRESHOLD, age: 0 }],
    });
    const other = createHarness();
    other.core.handle({
      kind: 'peer-update',
      peer: 'd-1',
      update: { kind: 'fragile', replicas: [{ replica: 'b', threshold: 3, age: 100 }] },
    });
    expect(other.core.fragility.getThresholds()).toEqual([['b', 3]]);
  });

  it('ends with a later response that states nothing, or without any for a while', () => {
    const harness = createHarness();
    harness.clock.advance(1_000);
    state(harness, 'a', THRESHOLD);
    harness.core.handle({ kind: 'threshold', replica: 'a', sentAt: 500, threshold: undefined });
    expect(harness.core.fragility.getThreshold('a')).toBe(THRESHOLD);
    harness.clock.advance(10);
    state(harness, 'a', undefined);
    expect(harness.core.fragility.getThreshold('a')).toBeUndefined();
    state(harness, 'a', THRESHOLD);
    harness.clock.advance(fragilityOptions.expiry + 1);
    expect(submit(harness, 2 * SLOTS, 'r')).toHaveLength(2 * SLOTS);
    expect(harness.core.fragility.getThreshold('a')).toBeUndefined();
  });

  it('ignores a statement that cannot be parsed, and reports it once', () => {
    const harness = createHarness();
    [1, 2].forEach(() =>
      harness.core.handle({
        kind: 'threshold',
        replica: 'a',
        sentAt: 0,
        threshold: { kind: 'invalid', text: 'many' },
      }),
    );
    expect(harness.getEffects('threshold-refused')).toHaveLength(1);
    expect(harness.core.fragility.getThresholds()).toEqual([]);
  });
});
