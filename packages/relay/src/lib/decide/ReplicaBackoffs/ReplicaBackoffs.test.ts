import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd, GiveUpReason, Outcome } from '../messages.js';
import type { PlacementUpdate } from '../messages.js';
import { backoffOptions } from './ReplicaBackoffs.js';

const APP = [createService('app')];
const ONE = createReplica('i-1');
const TWO = createReplica('i-2');

function createHarness(replicas = [ONE, TWO]): CoreHarness {
  const harness = new CoreHarness(APP, replicas);
  harness.core.handle({ kind: 'daemons', count: 1 });
  return harness;
}

function backoff(harness: CoreHarness, replica: string, span: number): void {
  harness.core.handle({ kind: 'backoff', replica, span, source: 'response' });
}

let count = 0;

/** Submits requests together, and returns the replicas that they were sent to. */
function submit(harness: CoreHarness, requests: number): string[] {
  const ids = Array.from({ length: requests }, () => {
    count += 1;
    return `r-${count}`;
  });
  ids.forEach((id) => harness.submit(createRequest(id)));
  const replicas = ids.flatMap((id) => harness.getAttemptedReplicas(id));
  ids.forEach((id) => harness.core.handle({ kind: 'caller-left', id }));
  return replicas;
}

function getBackoffs(harness: CoreHarness): PlacementUpdate[] {
  return harness
    .getEffects('share')
    .map(({ update }) => update)
    .filter(({ kind }) => kind === 'backoffs');
}

describe('PlacementCore with a replica that asked for a backoff', () => {
  it('sends it nothing until the end of the backoff', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 3_000);
    harness.clock.advance(2_999);
    expect(submit(harness, 6)).not.toContain(ONE.id);
    harness.clock.advance(1);
    expect(submit(harness, 6)).toContain(ONE.id);
  });

  // Guards against a shorter second backoff that ends the first one early.
  it('lengthens a backoff, and never shortens it', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 3_000);
    backoff(harness, ONE.id, 1_000);
    harness.clock.advance(2_000);
    expect(submit(harness, 6)).not.toContain(ONE.id);
    backoff(harness, ONE.id, 3_000);
    harness.clock.advance(2_999);
    expect(submit(harness, 6)).not.toContain(ONE.id);
    harness.clock.advance(1);
    expect(submit(harness, 6)).toContain(ONE.id);
  });

  it.each([0, Number.MAX_SAFE_INTEGER])('bounds a backoff of %p ms', (span) => {
    const harness = createHarness();
    backoff(harness, ONE.id, span);
    const isBackedOff = !submit(harness, 6).includes(ONE.id);
    expect(isBackedOff).toBe(span > 0);
    harness.clock.advance(backoffOptions.maxSpan);
    expect(submit(harness, 6)).toContain(ONE.id);
  });

  it('keeps the backoff of a replica whose entry was missing for a while', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 3_000);
    harness.core.handle({ kind: 'replicas', replicas: [TWO] });
    harness.core.handle({ kind: 'replicas', replicas: [ONE, TWO] });
    expect(submit(harness, 6)).not.toContain(ONE.id);
  });

  // Guards against requests to such a replica instead of one that is merely suspect.
  it('prefers a suspect replica', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 3_000);
    harness.submit(createRequest('broken'));
    harness.end('broken', 1, AttemptEnd.NotSent);
    expect(harness.getEffects('suspect')).toHaveLength(1);
    expect(submit(harness, 6)).not.toContain(ONE.id);
  });

  it('sends no health checks to it', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 3_000);
    expect(harness.core.tryAcquireCheck(ONE.id)).toBe(false);
    expect(harness.core.tryAcquireCheck(TWO.id)).toBe(true);
  });

  it('withdraws requests that were placed there and not sent yet', () => {
    const harness = createHarness();
    harness.submit(createRequest('r'));
    const [first] = harness.getAttemptedReplicas('r');
    expect(harness.core.maySend(first!)).toBe(true);
    backoff(harness, first!, 3_000);
    expect(harness.core.maySend(first!)).toBe(false);
    harness.end('r', 1, AttemptEnd.Withdrawn);
    expect(harness.getAttemptedReplicas('r')[1]).not.toBe(first);
    expect(harness.getEffects('suspect')).toEqual([]);
  });

  // Guards against holding callers, or telling them to come back while all replicas are still backed off.
  it('refuses a request at once if all are backed off for longer than its latency target', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 5_000);
    backoff(harness, TWO.id, 3_000);
    harness.submit(createRequest('r', { latencyTarget: 300 }));
    expect(harness.getEffects('send')).toEqual([]);
    expect(harness.getEffects('give-up')).toMatchObject([
      { id: 'r', outcome: Outcome.NotRun, reason: GiveUpReason.BackedOff, retryAfter: 3_000 },
    ]);
  });

  it('lets a request wait for a backoff that ends in time', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 5_000);
    backoff(harness, TWO.id, 200);
    harness.submit(createRequest('r', { latencyTarget: 300 }));
    expect(harness.getEffects('give-up')).toEqual([]);
    harness.clock.advance(200);
    expect(harness.getAttemptedReplicas('r')).toEqual([TWO.id]);
  });

  it('refuses waiting requests once the backoff is lengthened beyond their latency target', () => {
    const harness = createHarness();
    backoff(harness, ONE.id, 200);
    backoff(harness, TWO.id, 200);
    harness.submit(createRequest('r', { latencyTarget: 300 }));
    backoff(harness, ONE.id, 2_000);
    backoff(harness, TWO.id, 2_000);
    expect(harness.getEffects('give-up')).toMatchObject([{ id: 'r', retryAfter: 2_000 }]);
  });

  it('tells the caller of a refused request when the first backoff ends', () => {
    const harness = createHarness([ONE]);
    harness.submit(createRequest('r', { maxAttempts: 1 }));
    backoff(harness, ONE.id, 3_000);
    harness.end('r', 1, AttemptEnd.Refused);
    expect(harness.getEffects('give-up')).toMatchObject([
      { outcome: Outcome.NotRun, reason: GiveUpReason.Refused, retryAfter: 3_000 },
    ]);
  });

  // Guards against replacing the response of a replica by an error of the daemon.
  it('passes a failure on if it can be retried nowhere', () => {
    const harness = createHarness();
    harness.submit(createRequest('r'));
    backoff(harness, ONE.id, 3_000);
    backoff(harness, TWO.id, 3_000);
    harness.end('r', 1, AttemptEnd.Failed);
    expect(harness.getEffects('settle')).toMatchObject([{ id: 'r', attempt: 1 }]);
  });

  it('tells the others, who prefer other replicas and use it if there are none', () => {
    const first = createHarness();
    backoff(first, ONE.id, 3_000);
    backoff(first, ONE.id, 3_100);
    const backoffs = [{ replica: ONE.id, remaining: 3_000 }];
    expect(getBackoffs(first)).toEqual([{ kind: 'backoffs', backoffs }]);
    first.clock.advance(1_100);
    const [repeated] = first.core.getPeriodicUpdates();
    expect(repeated).toEqual({
      kind: 'backoffs',
      backoffs: [{ replica: ONE.id, remaining: 2_000 }],
    });
    const second = createHarness();
    second.core.handle({ kind: 'peer-update', peer: 'd-1', update: repeated! });
    expect(submit(second, 6)).not.toContain(ONE.id);
    second.core.handle({ kind: 'replicas', replicas: [ONE] });
    expect(submit(second, 1)).toEqual([ONE.id]);
    second.core.handle({ kind: 'replicas', replicas: [ONE, TWO] });
    second.clock.advance(2_000);
    expect(submit(second, 6)).toContain(ONE.id);
  });

  // Guards against sending a request to the replica that a placer chose without knowing of the backoff.
  it('excludes it from placement queries and does not use it on the response of a placer', () => {
    const daemons = Array.from({ length: 20 }, (_item, index) => `d-${index}`);
    const queried = daemons.flatMap((self) => {
      const harness = createHarness();
      backoff(harness, ONE.id, 3_000);
      harness.core.handle({ kind: 'fleet', self, daemons });
      harness.submit(createRequest('r'));
      return harness
        .getEffects('share')
        .flatMap(({ to, update }) =>
          update.kind === 'ask' ? [{ harness, placer: to!, query: update.query }] : [],
        );
    });
    expect(queried.length).toBeGreaterThan(0);
    queried.forEach(({ harness, placer, query }) => {
      expect(query.excludedReplicas).toEqual([ONE.id]);
      const estimates = { expected: 1, missingTokens: 0, tokensAhead: 0, copyTime: 0 };
      const response = { key: query.key, placement: { replica: ONE.id, ...estimates } };
      const update = { kind: 'reply', response } as const;
      harness.core.handle({ kind: 'peer-update', peer: placer, update });
      harness.clock.advance(200);
      expect(harness.getAttemptedReplicas('r')).toEqual([TWO.id]);
    });
  });
});
