import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createPrompt,
  createReplica,
  createRequest,
  createService,
} from '../../../test/fixtures.js';
import { RouteKind } from '../../config/RelayConfiguration.js';
import { AttemptEnd, GiveUpReason, Outcome } from '../messages.js';
import type { SharedAttempt } from '../messages.js';

const APP = [createService('app')];
const TWO = [createReplica('i-1'), createReplica('i-2')];

describe('PlacementCore', () => {
  // Guards against telling a caller to retry although its request may have run, because a broken
  // attempt was treated as one that did not run.
  it('does not retry a non-idempotent request after a broken attempt, and reports outcome unknown', () => {
    const harness = new CoreHarness(APP, TWO);
    harness.submit(
      createRequest('p', { kind: RouteKind.Once, isRetryable: false, maxAttempts: 2 }),
    );
    harness.end('p', 1, AttemptEnd.Broken);
    expect(harness.getEffects('send')).toHaveLength(1);
    expect(harness.getEffects('give-up')).toMatchObject([
      { outcome: Outcome.Unknown, reason: GiveUpReason.MayHaveRun },
    ]);
  });

  it('retries a refused non-idempotent request elsewhere, up to the maximum number of attempts', () => {
    const harness = new CoreHarness(APP, TWO);
    harness.submit(
      createRequest('p', { kind: RouteKind.Once, isRetryable: false, maxAttempts: 2 }),
    );
    harness.end('p', 1, AttemptEnd.Refused);
    expect(new Set(harness.getAttemptedReplicas('p')).size).toBe(2);
    harness.end('p', 2, AttemptEnd.Refused);
    expect(harness.getEffects('give-up')).toMatchObject([{ outcome: Outcome.NotRun }]);
    expect(harness.getEffects('give-up')[0]!.retryAfter).toBeGreaterThan(0);
  });

  it('does not count attempts that were not sent, but gives up after three of them', () => {
    const harness = new CoreHarness(APP, TWO);
    harness.submit(createRequest('a', { maxAttempts: 1 }));
    harness.end('a', 1, AttemptEnd.NotSent);
    harness.end('a', 2, AttemptEnd.NotSent);
    harness.end('a', 3, AttemptEnd.NotSent);
    expect(harness.getEffects('send')).toHaveLength(3);
    expect(harness.getEffects('give-up')).toMatchObject([
      { outcome: Outcome.NotRun, reason: GiveUpReason.NoReplica },
    ]);
  });

  // Guards against multiplying the load of a failing service: every response is a failure and every
  // request is retried. The retry budget bounds the retries of all requests together.
  it('passes failures on once the retry budget of the service is exhausted', () => {
    const harness = new CoreHarness(APP, TWO, { retryRatio: 0.2, retrySlack: 1 });
    for (let index = 0; index < 50; index += 1) {
      const id = `r${index}`;
      harness.submit(createRequest(id));
      harness.end(id, 1, AttemptEnd.Failed);
      if (harness.getAttemptedReplicas(id).length > 1) {
        harness.end(id, 2, AttemptEnd.Failed);
      }
    }
    expect(harness.getEffects('send').length).toBeLessThanOrEqual(50 + 50 * 0.2 + 1);
    expect(harness.getEffects('send').length).toBeGreaterThan(50);
    expect(harness.getEffects('settle')).toHaveLength(50);
  });

  it('gives a request up at its deadline and cancels the attempt in flight', () => {
    const harness = new CoreHarness(APP, TWO);
    harness.submit(createRequest('p', { kind: RouteKind.Once, isRetryable: false, deadline: 700 }));
    harness.clock.advance(700);
    expect(harness.getEffects('cancel')).toMatchObject([{ id: 'p', attempt: 1 }]);
    expect(harness.getEffects('give-up')).toMatchObject([
      { outcome: Outcome.Unknown, reason: GiveUpReason.Deadline },
    ]);
    expect(harness.core.openRequests).toBe(0);
  });

  it('cancels the attempt in flight when the caller leaves', () => {
    const harness = new CoreHarness(APP, TWO);
    harness.submit(createRequest('a'));
    harness.core.handle({ kind: 'caller-left', id: 'a' });
    expect(harness.getEffects('cancel')).toHaveLength(1);
    expect(harness.getEffects('give-up')).toHaveLength(0);
  });

  // Guards against requests that wait until their deadline because the response of a replica was lost
  // and nothing more arrives on the connection.
  it('sends a retryable request to another replica when the first does not respond', () => {
    const harness = new CoreHarness(APP, TWO, { retrySlack: 5 });
    harness.submit(createRequest('a'));
    harness.clock.advance(250);
    expect(harness.getEffects('cancel')).toHaveLength(1);
    expect(new Set(harness.getAttemptedReplicas('a')).size).toBe(2);
  });

  it('keeps waiting for an unresponsive replica if the request is not retryable', () => {
    const harness = new CoreHarness(APP, TWO, { retrySlack: 5 });
    harness.submit(createRequest('p', { kind: RouteKind.Once, isRetryable: false }));
    harness.clock.advance(1_400);
    expect(harness.getEffects('cancel')).toHaveLength(0);
  });

  // Guards against requests that keep failing on a crashed replica, which refuses connections, until
  // the list of replicas is updated seconds later.
  it('avoids a replica that refuses connections until it passes a health check', () => {
    const harness = new CoreHarness(APP, TWO);
    harness.submit(createRequest('a'));
    const [down] = harness.getAttemptedReplicas('a');
    harness.end('a', 1, AttemptEnd.NotSent);
    expect(harness.getEffects('suspect')).toMatchObject([{ replica: { id: down } }]);
    for (let index = 0; index < 5; index += 1) {
      harness.submit(createRequest(`b${index}`));
      expect(harness.getAttemptedReplicas(`b${index}`)).not.toContain(down);
    }
    harness.core.handle({ kind: 'health', replica: down!, isHealthy: true });
    expect(harness.getEffects('mark-healthy')).toHaveLength(1);
    for (let index = 0; index < 4; index += 1) {
      harness.submit(createRequest(`c${index}`));
    }
    const after = [0, 1, 2, 3].flatMap((index) => harness.getAttemptedReplicas(`c${index}`));
    expect(after).toContain(down);
  });

  it('does not use replicas that are draining or whose address belongs to another replica', () => {
    const harness = new CoreHarness(APP, [
      createReplica('i-1', { isDraining: true }),
      createReplica('i-2'),
      createReplica('i-3'),
    ]);
    harness.submit(createRequest('a'));
    const [first] = harness.getAttemptedReplicas('a');
    harness.end('a', 1, AttemptEnd.Misdirected);
    const [, second] = harness.getAttemptedReplicas('a');
    expect(first).not.toBe('i-1');
    expect(second).not.toBe('i-1');
    expect(second).not.toBe(first);
    harness.submit(createRequest('b'));
    expect(harness.getAttemptedReplicas('b')).toEqual([second]);
  });

  // Guards against avoiding a healthy replica that restarted under its old name, because the suspicion
  // of its predecessor was carried over.
  it('resets the state of a replica that restarted under the same name', () => {
    const first = createReplica('i-1@5', { name: 'i-1', startedAt: 5 });
    const next = createReplica('i-1@9', { name: 'i-1', startedAt: 9 });
    const harness = new CoreHarness(APP, [first, TWO[1]!]);
    harness.core.handle({ kind: 'leaving', replica: first.id, source: 'response' });
    harness.core.handle({ kind: 'replicas', replicas: [next, TWO[1]!] });
    // A peer that does not know of the restart yet reports a broken attempt at the predecessor.
    const update = { kind: 'attempt-broken', replica: first.id } as const;
    for (let index = 0; index < 5; index += 1) {
      harness.core.handle({ kind: 'peer-update', peer: 'd-2', update });
      harness.core.handle({ kind: 'leaving', replica: first.id, source: 'response' });
    }
    expect(harness.getEffects('start-cooldown')).toHaveLength(0);
    ['a', 'b', 'c'].forEach((id) => harness.submit(createRequest(id)));
    const used = ['a', 'b', 'c'].flatMap((id) => harness.getAttemptedReplicas(id));
    expect(used).toContain(next.id);
    expect(used).not.toContain(first.id);
  });

  it('gives a request up immediately if no replica is known, with retry-after', () => {
    const harness = new CoreHarness(APP, []);
    harness.submit(createRequest('a'));
    const [effect] = harness.getEffects('give-up');
    expect(effect).toMatchObject({ outcome: Outcome.NotRun, reason: GiveUpReason.NoReplica });
    expect(effect!.retryAfter).toBeGreaterThan(0);
  });

  it('sends the most urgent waiting request first', () => {
    const harness = new CoreHarness([createService('app', { maxConnections: 24 })], [TWO[0]!]);
    const ids = ['a', 'b'];
    ids.forEach((id) => harness.submit(createRequest(id)));
    harness.submit(createRequest('late', { rank: 2 }));
    harness.submit(createRequest('urgent', { rank: 0 }));
    expect(harness.getEffects('send')).toHaveLength(2);
    harness.end('a', 1, AttemptEnd.Completed);
    expect(harness.getAttemptedReplicas('urgent')).toHaveLength(1);
    expect(harness.getAttemptedReplicas('late')).toHaveLength(0);
  });
});

describe('PlacementCore with engines', () => {
  const engines = ['e-1', 'e-2', 'e-3', 'e-4'].map((id) => createReplica(id, { service: 'llm' }));
  const services = [createEngineService('llm')];

  function createHarness(): CoreHarness {
    return new CoreHarness(services, engines);
  }

  function submit(harness: CoreHarness, id: string, parts: [string, number][]): string {
    const stream = { kind: RouteKind.Stream, isRetryable: false, service: 'llm', pauseTarget: 400 };
    const prompt = createPrompt(parts, 52);
    harness.submit(createRequest(id, { ...stream, prompt, deadline: 6_000, maxAttempts: 1 }));
    return harness.getAttemptedReplicas(id)[0]!;
  }

  function complete(harness: CoreHarness, id: string): void {
    harness.core.handle({ kind: 'first-byte-received', id, attempt: 1 });
    harness.end(id, 1, AttemptEnd.Completed);
  }

  // Load pattern: one session sends many requests while the others are idle.
  it('sends a session to the engine that has cached it, and to others when that is overloaded', () => {
    const harness = createHarness();
    const session: [string, number][] = [
      ['catalogue', 2_500],
      ['session', 3_800],
    ];
    const first = submit(harness, 'a', [...session, ['own-a', 1_000]]);
    harness.clock.advance(300);
    complete(harness, 'a');
    expect(submit(harness, 'b', [...session, ['own-b', 1_000]])).toBe(first);
    const used = new Set<string>();
    for (let index = 0; index < 12; index += 1) {
      used.add(submit(harness, `c${index}`, [...session, [`own-c${index}`, 3_000]]));
    }
    expect(used.size).toBeGreaterThan(1);
  });

  it('lets an engine copy cached tokens from another', () => {
    const harness = createHarness();
    const first = submit(harness, 'a', [
      ['catalogue', 2_500],
      ['own-a', 500],
    ]);
    harness.clock.advance(100);
    harness.core.handle({ kind: 'first-byte-received', id: 'a', attempt: 1 });
    for (let index = 0; index < 6; index += 1) {
      submit(harness, `load${index}`, [
        ['catalogue', 2_500],
        [`own${index}`, 6_000],
      ]);
    }
    const elsewhere = harness.getEffects('send').filter(({ replica }) => replica.id !== first);
    expect(elsewhere.length).toBeGreaterThan(0);
    expect(elsewhere.some(({ choice }) => choice.fetchFrom?.id === first)).toBe(true);
  });

  // Load pattern: eight daemons receive requests of different sessions at the same moment. Guards
  // against each daemon considering the engine idle that the others have just chosen: first tokens
  // expected within 50 ms took over a second.
  it('counts the attempts that other daemons have just placed', () => {
    const alone = createHarness();
    const preferred = submit(alone, 'x', [
      ['session', 1_000],
      ['own', 500],
    ]);
    const harness = createHarness();
    const attempt: SharedAttempt = {
      key: 'p/1',
      replica: preferred,
      missingTokens: 18_000,
      memoryTokens: 18_000,
      isResponding: false,
    };
    harness.core.handle({ kind: 'peer-update', peer: 'd-2', update: { kind: 'placed', attempt } });
    expect(
      submit(harness, 'x', [
        ['session', 1_000],
        ['own', 500],
      ]),
    ).not.toBe(preferred);
    harness.core.handle({ kind: 'peer-removed', peer: 'd-2' });
    expect(
      submit(harness, 'y', [
        ['session', 1_000],
        ['own-y', 500],
      ]),
    ).toBe(preferred);
  });

  // Load pattern: long prompts with short responses and short prompts with long responses. Prefill of
  // a long prompt delays the tokens of the other requests of the engine, so that the inter-token
  // pauses of the long responses exceed their target.
  it('keeps long prompts away from engines with many running streams', () => {
    const harness = createHarness();
    const streams = engines.slice(0, 3).flatMap(({ id }, engine) =>
      [0, 1, 2, 3, 4, 5, 6, 7].map((index) => ({
        key: `s${engine}-${index}`,
        replica: id,
        missingTokens: 0,
        memoryTokens: 800,
        pauseTarget: 250,
        isResponding: true,
      })),
    );
    harness.core.handle({
      kind: 'peer-update',
      peer: 'd-2',
      update: { kind: 'attempt-list', attempts: streams },
    });
    for (let index = 0; index < 3; index += 1) {
      expect(submit(harness, `p${index}`, [[`own${index}`, 6_000]])).toBe('e-4');
      harness.clock.advance(200);
      complete(harness, `p${index}`);
      harness.clock.advance(2_000);
    }
  });
});
