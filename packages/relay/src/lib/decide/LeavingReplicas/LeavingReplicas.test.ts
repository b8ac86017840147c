import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd, GiveUpReason, Outcome } from '../messages.js';
import { LeavingReplicas, leavingOptions } from './LeavingReplicas.js';

const APP = [createService('app')];
const ONE = createReplica('i-1');
const TWO = createReplica('i-2');
const LEAVING = { kind: 'leaving', replica: ONE.id, source: 'response' } as const;

describe('LeavingReplicas', () => {
  it('remembers a bounded number of replicas, the newest ones', () => {
    const leaving = new LeavingReplicas();
    for (let index = 0; index <= leavingOptions.maxRemembered; index += 1) {
      expect(leaving.add(`i-${index}`)).toBe(true);
    }
    expect(leaving.add('i-1')).toBe(false);
    expect(leaving.has('i-0')).toBe(false);
    expect(leaving.getNewest(() => true)).toHaveLength(leavingOptions.maxPerDatagram);
    expect(leaving.getNewest((id) => id === 'i-7')).toEqual(['i-7']);
  });
});

describe('PlacementCore with a leaving replica', () => {
  function submit(harness: CoreHarness, count: number): string[] {
    return Array.from({ length: count }, (_item, index) => {
      const id = `r-${harness.effects.length}-${index}`;
      harness.submit(createRequest(id));
      harness.end(id, 1, AttemptEnd.Completed);
      return harness.getAttemptedReplicas(id)[0]!;
    });
  }

  // Guards against requests to a leaving replica whose entry expired and was written again.
  it('sends it nothing, also after its entry was missing for a while', () => {
    const harness = new CoreHarness(APP, [ONE, TWO]);
    harness.core.handle(LEAVING);
    expect(submit(harness, 20)).not.toContain(ONE.id);
    harness.core.handle({ kind: 'replicas', replicas: [TWO] });
    harness.core.handle({ kind: 'replicas', replicas: [ONE, TWO] });
    expect(submit(harness, 20)).not.toContain(ONE.id);
  });

  it('withdraws requests that were placed there and not sent yet, listed or not', () => {
    const harness = new CoreHarness(APP, [ONE, TWO]);
    expect(harness.core.maySend(ONE.id)).toBe(true);
    harness.core.handle(LEAVING);
    expect(harness.core.maySend(ONE.id)).toBe(false);
    harness.core.handle({ kind: 'replicas', replicas: [TWO] });
    expect(harness.core.maySend(ONE.id)).toBe(false);
  });

  // Guards against requests to a replica whose announcement arrives before its entry.
  it('sends nothing to a replica that announced it before it was listed', () => {
    const harness = new CoreHarness(APP, [TWO]);
    harness.core.handle(LEAVING);
    harness.core.handle({ kind: 'replicas', replicas: [ONE, TWO] });
    expect(submit(harness, 20)).not.toContain(ONE.id);
  });

  it('tells the others once and with each regular message, and believes them', () => {
    const first = new CoreHarness(APP, [ONE, TWO]);
    first.core.handle(LEAVING);
    first.core.handle(LEAVING);
    const updates = first.getEffects('share').map(({ update }) => update);
    expect(updates).toEqual([{ kind: 'leaving', replicas: [ONE.id] }]);
    expect(first.core.getPeriodicUpdates()).toEqual(updates);
    const second = new CoreHarness(APP, [ONE, TWO]);
    second.core.handle({ kind: 'peer-update', peer: 'd-1', update: updates[0]! });
    expect(submit(second, 20)).not.toContain(ONE.id);
    expect(second.getEffects('share').filter(({ update }) => update.kind === 'leaving')).toEqual(
      [],
    );
    expect(second.getEffects('replica-leaving')).toEqual([
      { kind: 'replica-leaving', replica: ONE.id, source: 'd-1' },
    ]);
  });

  // Guards against sending a request to the replica that a placer chose before it knew.
  it('does not use it on the response of a placer', () => {
    const daemons = Array.from({ length: 20 }, (_item, index) => `d-${index}`);
    const queried = daemons.flatMap((self) => {
      const harness = new CoreHarness(APP, [ONE, TWO]);
      harness.core.handle({ kind: 'fleet', self, daemons });
      harness.submit(createRequest('r'));
      return harness
        .getEffects('share')
        .flatMap(({ to, update }) =>
          update.kind === 'ask' ? [{ harness, placer: to!, key: update.query.key }] : [],
        );
    });
    expect(queried.length).toBeGreaterThan(0);
    queried.forEach(({ harness, placer, key }) => {
      harness.core.handle(LEAVING);
      const estimates = { expected: 1, missingTokens: 0, tokensAhead: 0, copyTime: 0 };
      const response = { key, placement: { replica: ONE.id, ...estimates } };
      harness.core.handle({
        kind: 'peer-update',
        peer: placer,
        update: { kind: 'reply', response },
      });
      harness.clock.advance(1_000);
      expect(harness.getAttemptedReplicas('r')).toEqual([TWO.id]);
    });
  });

  // Guards against holding requests until their deadline when the last replica leaves.
  it('refuses waiting requests at once if no replica remains', () => {
    const harness = new CoreHarness(APP, [createReplica('i-1', { slots: 1 })]);
    harness.core.handle({ kind: 'daemons', count: 1 });
    for (let index = 0; index < 4; index += 1) {
      harness.submit(createRequest(`r-${index}`));
    }
    const sent = harness.getEffects('send').length;
    expect(sent).toBeLessThan(4);
    harness.core.handle(LEAVING);
    expect(harness.getEffects('send')).toHaveLength(sent);
    const refused = harness.getEffects('give-up');
    expect(refused).toHaveLength(4 - sent);
    refused.forEach((effect) => {
      expect(effect).toMatchObject({ outcome: Outcome.NotRun, reason: GiveUpReason.NoReplica });
      expect(effect.retryAfter).toBeGreaterThan(0);
    });
  });
});
