import { CoreHarness } from '../../../../test/CoreHarness.js';
import {
  createPrompt,
  createReplica,
  createRequest,
  createService,
} from '../../../../test/fixtures.js';
import { AttemptEnd, CancelReason, GiveUpReason, Outcome, ProbeResult } from '../../messages.js';
import { getPartFingerprint } from '../getFingerprints/getFingerprints.js';
import { quarantineOptions } from '../quarantineOptions.js';

const REPLICAS = ['i-1', 'i-2', 'i-3', 'i-4', 'i-5', 'i-6'].map((id) => createReplica(id));

function create() {
  return new CoreHarness([createService('app')], REPLICAS, { retrySlack: 100 });
}

/** Submits a request without retries and crashes its replica. @returns the replica ID */
function crash(harness: CoreHarness, id: string, fingerprint = 'crashing'): string {
  harness.submit(createRequest(id, { fingerprint, maxAttempts: 1 }));
  const [replica] = harness.getAttemptedReplicas(id);
  harness.end(id, 1, AttemptEnd.Broken);
  harness.core.handle({ kind: 'probed', replica: replica!, result: ProbeResult.Down });
  return replica!;
}

function quarantine(harness: CoreHarness): void {
  ['a', 'b', 'c'].forEach((id) => crash(harness, id));
  harness.clock.advance(quarantineOptions.evaluationDelay);
}

/** Submits a request with a prompt and crashes its replica. */
function crashPrompt(harness: CoreHarness, id: string, parts: string[]): void {
  const prompt = createPrompt(parts.map((part) => [part, 10]));
  harness.submit(createRequest(id, { prompt, maxAttempts: 1 }));
  const [replica] = harness.getAttemptedReplicas(id);
  harness.end(id, 1, AttemptEnd.Broken);
  harness.core.handle({ kind: 'probed', replica: replica!, result: ProbeResult.Down });
  harness.clock.advance(quarantineOptions.simultaneousWindow);
}

function submitPrompt(harness: CoreHarness, id: string, parts: string[]): void {
  harness.submit(createRequest(id, { prompt: createPrompt(parts.map((part) => [part, 10])) }));
}

function quarantinePart(harness: CoreHarness): void {
  ['a', 'b', 'c', 'd'].forEach((id) => crashPrompt(harness, id, ['common', 'bad', id]));
  harness.clock.advance(quarantineOptions.maxEvaluationDelay);
}

describe('Quarantine', () => {
  it('rejects a request after three crashes, with outcome not-run and without retry-after', () => {
    const harness = create();
    quarantine(harness);
    harness.submit(createRequest('d', { fingerprint: 'crashing' }));
    expect(harness.getAttemptedReplicas('d')).toEqual([]);
    expect(harness.getEffects('give-up').at(-1)).toEqual({
      kind: 'give-up',
      id: 'd',
      outcome: Outcome.NotRun,
      reason: GiveUpReason.Quarantined,
      retryAfter: undefined,
      quarantined: 'crashing',
    });
    expect(harness.getEffects('quarantined')).toMatchObject([
      { content: { fingerprint: 'crashing' }, isOwn: true },
    ]);
    harness.submit(createRequest('other'));
    expect(harness.getAttemptedReplicas('other')).toHaveLength(1);
  });

  it('rejects a request under review with retry-after', () => {
    const harness = create();
    ['a', 'b', 'c'].forEach((id) => crash(harness, id));
    harness.submit(createRequest('d', { fingerprint: 'crashing' }));
    expect(harness.getAttemptedReplicas('d')).toEqual([]);
    const [last] = harness.getEffects('give-up').slice(-1);
    expect(last).toMatchObject({ outcome: Outcome.NotRun, reason: GiveUpReason.UnderReview });
    expect(last!.retryAfter).toBeGreaterThan(0);
  });

  it('cancels attempts in flight, with outcome unknown', () => {
    const harness = create();
    harness.submit(createRequest('early', { fingerprint: 'crashing' }));
    quarantine(harness);
    expect(harness.getEffects('cancel')).toMatchObject([
      { id: 'early', reason: CancelReason.Quarantined },
    ]);
    expect(harness.getEffects('give-up').find(({ id }) => id === 'early')).toMatchObject({
      outcome: Outcome.Unknown,
      reason: GiveUpReason.Quarantined,
    });
  });

  // Guards against counting lost connections as crashes.
  it('does not count broken attempts at a replica that keeps running', () => {
    const harness = create();
    for (let index = 0; index < 10; index += 1) {
      const id = `r-${index}`;
      harness.submit(createRequest(id, { fingerprint: 'same', maxAttempts: 1 }));
      const [replica] = harness.getAttemptedReplicas(id);
      harness.end(id, 1, AttemptEnd.Broken);
      harness.core.handle({ kind: 'probed', replica: replica!, result: ProbeResult.Up });
      harness.clock.advance(quarantineOptions.evaluationDelay);
    }
    expect(harness.getEffects('crashed')).toEqual([]);
    expect(harness.getEffects('quarantined')).toEqual([]);
  });

  // Guards against missing a crash when the successor listens before the probe.
  it('counts a crash when the replica disappears from the list', () => {
    const harness = create();
    harness.submit(createRequest('a', { fingerprint: 'crashing', maxAttempts: 1 }));
    const [replica] = harness.getAttemptedReplicas('a');
    harness.end('a', 1, AttemptEnd.Broken);
    harness.core.handle({ kind: 'probed', replica: replica!, result: ProbeResult.Up });
    const next = createReplica('i-7');
    const replicas = [...REPLICAS.filter(({ id }) => id !== replica), next];
    harness.core.handle({ kind: 'replicas', replicas });
    expect(harness.getEffects('crashed')).toMatchObject([{ replica, fingerprints: ['crashing'] }]);
  });

  // Guards against rejecting a request that another daemon has cleared.
  it('releases a request cleared by another daemon, and refutes later quarantine reports', () => {
    const harness = create();
    quarantine(harness);
    const cleared = { kind: 'cleared' as const, fingerprint: 'crashing' };
    harness.core.handle({ kind: 'peer-update', peer: 'd-1', update: cleared });
    expect(harness.getEffects('released')).toEqual([
      { kind: 'released', fingerprint: 'crashing', isOwn: true },
    ]);
    const request = { fingerprint: 'crashing', remaining: 60_000, replicas: [] };
    const update = { kind: 'quarantined' as const, contents: [request] };
    harness.core.handle({ kind: 'peer-update', peer: 'd-2', update });
    expect(harness.core.quarantine.size).toBe(0);
    expect(harness.getEffects('share').at(-1)).toEqual({
      kind: 'share',
      update: cleared,
      to: 'd-2',
    });
  });

  it('does not count a crash when the replica leaves long after a broken attempt', () => {
    const harness = create();
    harness.submit(createRequest('a', { maxAttempts: 1 }));
    const [replica] = harness.getAttemptedReplicas('a');
    harness.end('a', 1, AttemptEnd.Broken);
    harness.core.handle({ kind: 'probed', replica: replica!, result: ProbeResult.Up });
    harness.clock.advance(quarantineOptions.possibleCrashRetention + 1);
    const left = REPLICAS.filter(({ id }) => id !== replica);
    harness.core.handle({ kind: 'replicas', replicas: left });
    expect(harness.getEffects('crashed')).toEqual([]);
  });

  it('does not count a crash when a draining replica leaves', () => {
    const harness = create();
    harness.submit(createRequest('a', { maxAttempts: 1 }));
    const [replica] = harness.getAttemptedReplicas('a');
    harness.end('a', 1, AttemptEnd.Broken);
    harness.core.handle({ kind: 'probed', replica: replica!, result: ProbeResult.Up });
    const draining = REPLICAS.map((item) => ({ ...item, isDraining: item.id === replica }));
    harness.core.handle({ kind: 'replicas', replicas: draining });
    const left = REPLICAS.filter(({ id }) => id !== replica);
    harness.core.handle({ kind: 'replicas', replicas: left });
    expect(harness.getEffects('crashed')).toEqual([]);
  });

  it('clears the crashes of a request that is served later', () => {
    const harness = create();
    crash(harness, 'a', 'same');
    crash(harness, 'b', 'same');
    harness.submit(createRequest('c', { fingerprint: 'same' }));
    harness.end('c', 1, AttemptEnd.Completed);
    const updates = harness.getEffects('share').map((effect) => effect.update);
    expect(updates).toContainEqual({ kind: 'cleared', fingerprint: 'same' });
    crash(harness, 'd', 'same');
    harness.clock.advance(quarantineOptions.evaluationDelay);
    expect(harness.getEffects('quarantined')).toEqual([]);
  });

  it('combines crash reports from several daemons', () => {
    const harness = create();
    ['i-8', 'i-9'].forEach((replica) => {
      const update = { kind: 'crashed' as const, replica, fingerprints: ['crashing'] };
      harness.core.handle({ kind: 'peer-update', peer: replica, update });
    });
    crash(harness, 'a');
    harness.clock.advance(quarantineOptions.evaluationDelay);
    expect(harness.getEffects('quarantined')).toHaveLength(1);
  });

  // Guards against a retried request crashing one replica per daemon.
  it('sends a suspect request to the same replica from every daemon', () => {
    const chosen = ['d-1', 'd-2', 'd-3'].map((peer) => {
      const harness = create();
      // Gives each daemon a different load.
      harness.submit(createRequest(`load-${peer}`));
      const update = { kind: 'crashed' as const, replica: 'i-9', fingerprints: ['crashing'] };
      harness.core.handle({ kind: 'peer-update', peer, update });
      harness.submit(createRequest('a', { fingerprint: 'crashing' }));
      return harness.getAttemptedReplicas('a')[0];
    });
    expect(new Set(chosen).size).toBe(1);
  });

  it('restores quarantined requests from repeated messages', () => {
    const first = create();
    quarantine(first);
    const second = create();
    first.core.quarantine.getPeriodicUpdates().forEach((update) => {
      second.core.handle({ kind: 'peer-update', peer: 'd-1', update });
    });
    second.submit(createRequest('a', { fingerprint: 'crashing' }));
    expect(second.getEffects('give-up')).toMatchObject([{ reason: GiveUpReason.Quarantined }]);
  });

  // Guards against arrivals that extend the term and keep a harmless request quarantined.
  it('accepts a request once its term expires, and quarantines it again after one crash', () => {
    const harness = create();
    quarantine(harness);
    harness.clock.advance(quarantineOptions.duration - 1_000);
    harness.submit(createRequest('d', { fingerprint: 'crashing' }));
    expect(harness.getAttemptedReplicas('d')).toEqual([]);
    harness.clock.advance(1_000);
    expect(harness.core.quarantine.size).toBe(0);
    crash(harness, 'e');
    harness.clock.advance(quarantineOptions.evaluationDelay);
    expect(harness.core.quarantine.size).toBe(1);
    harness.submit(createRequest('f', { fingerprint: 'crashing' }));
    expect(harness.getAttemptedReplicas('f')).toEqual([]);
  });

  // Guards against quarantining content that many callers send and that is in flight at each crash.
  it('does not hold a recently served request responsible for a crash', () => {
    const harness = create();
    harness.submit(createRequest('served', { fingerprint: 'common' }));
    harness.end('served', 1, AttemptEnd.Completed);
    ['a', 'b', 'c', 'd', 'e', 'f'].forEach((id) => crash(harness, id, 'common'));
    harness.clock.advance(quarantineOptions.evaluationDelay);
    expect(harness.getEffects('quarantined')).toEqual([]);
  });

  it('clears a recently served request when another daemon reports a crash with it', () => {
    const harness = create();
    harness.submit(createRequest('served', { fingerprint: 'common' }));
    harness.end('served', 1, AttemptEnd.Completed);
    const update = { kind: 'crashed' as const, replica: 'i-9', fingerprints: ['common'] };
    harness.core.handle({ kind: 'peer-update', peer: 'd-1', update });
    const shared = harness.getEffects('share').map((effect) => effect.update);
    expect(shared).toContainEqual({ kind: 'cleared', fingerprint: 'common' });
  });

  it('rejects different requests with a part that crashes replicas, and serves others', () => {
    const harness = create();
    submitPrompt(harness, 'served', ['common', 'good', 's']);
    harness.end('served', 1, AttemptEnd.Completed);
    quarantinePart(harness);
    submitPrompt(harness, 'e', ['bad', 'other', 'e']);
    expect(harness.getAttemptedReplicas('e')).toEqual([]);
    expect(harness.getEffects('give-up').at(-1)).toMatchObject({
      outcome: Outcome.NotRun,
      reason: GiveUpReason.Quarantined,
      quarantined: getPartFingerprint('app', { id: 'bad', tokens: 10 }),
    });
    submitPrompt(harness, 'f', ['common', 'good', 'f']);
    // The last part of a prompt is not shared.
    submitPrompt(harness, 'g', ['common', 'bad']);
    expect(['f', 'g'].flatMap((id) => harness.getAttemptedReplicas(id))).toHaveLength(2);
  });

  // Guards against a response that proves a part sound and is cut when the part is quarantined.
  it('lets a response go on that has begun, and releases the part when it is complete', () => {
    const harness = create();
    submitPrompt(harness, 'early', ['common', 'bad', 'early']);
    harness.core.handle({ kind: 'first-byte-received', id: 'early', attempt: 1 });
    // Refutes that the other part is responsible.
    submitPrompt(harness, 'served', ['common', 'good', 's']);
    harness.end('served', 1, AttemptEnd.Completed);
    quarantinePart(harness);
    expect(harness.core.quarantine.size).toBe(1);
    expect(harness.getEffects('cancel')).toEqual([]);
    harness.end('early', 1, AttemptEnd.Completed);
    expect(harness.core.quarantine.size).toBe(0);
  });

  // Guards against a sound part that stays quarantined, since nothing with it is served any more.
  it('lets one request through as a trial, and releases the part if it is served', () => {
    const harness = create();
    submitPrompt(harness, 'served', ['common', 'good', 's']);
    harness.end('served', 1, AttemptEnd.Completed);
    quarantinePart(harness);
    harness.clock.advance(quarantineOptions.trialDelay);
    submitPrompt(harness, 'trial', ['common', 'bad', 't']);
    submitPrompt(harness, 'next', ['common', 'bad', 'n']);
    expect(harness.getAttemptedReplicas('trial')).toHaveLength(1);
    expect(harness.getAttemptedReplicas('next')).toEqual([]);
    harness.end('trial', 1, AttemptEnd.Completed);
    submitPrompt(harness, 'last', ['common', 'bad', 'l']);
    expect(harness.getAttemptedReplicas('last')).toHaveLength(1);
  });

  it('releases a part at all daemons when an operator does', () => {
    const harness = create();
    submitPrompt(harness, 'served', ['common', 'good', 's']);
    harness.end('served', 1, AttemptEnd.Completed);
    quarantinePart(harness);
    const fingerprint = getPartFingerprint('app', { id: 'bad', tokens: 10 });
    harness.core.handle({ kind: 'release', fingerprint });
    expect(harness.getEffects('share').at(-1)?.update).toEqual({ kind: 'cleared', fingerprint });
    submitPrompt(harness, 'next', ['common', 'bad', 'n']);
    expect(harness.getAttemptedReplicas('next')).toHaveLength(1);
  });

  it('keeps the part without further trials if the trial crashes its replica', () => {
    const harness = create();
    submitPrompt(harness, 'served', ['common', 'good', 's']);
    harness.end('served', 1, AttemptEnd.Completed);
    quarantinePart(harness);
    harness.clock.advance(quarantineOptions.trialDelay);
    crashPrompt(harness, 'trial', ['common', 'bad', 't']);
    for (let index = 0; index < 5; index += 1) {
      harness.clock.advance(quarantineOptions.trialDelay);
      submitPrompt(harness, `late-${index}`, ['common', 'bad', `l-${index}`]);
      expect(harness.getAttemptedReplicas(`late-${index}`)).toEqual([]);
    }
  });

  it('stays within its limit of quarantined requests', () => {
    const harness = create();
    const requests = Array.from({ length: quarantineOptions.maxEntries * 2 }, (_item, index) => ({
      fingerprint: `f-${index}`,
      remaining: 1_000 + index,
      replicas: [],
    }));
    harness.core.handle({ kind: 'quarantine', contents: requests });
    expect(harness.core.quarantine.size).toBe(quarantineOptions.maxEntries);
    expect(harness.core.quarantine.has(`f-${requests.length - 1}`)).toBe(true);
  });
});
