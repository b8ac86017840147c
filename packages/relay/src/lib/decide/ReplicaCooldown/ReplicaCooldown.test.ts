import {
  createEngineService,
  createPrompt,
  createReplica,
  createRequest,
} from '../../../test/fixtures.js';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { AttemptEnd } from '../messages.js';
import { ReplicaCooldown, cooldownOptions } from './ReplicaCooldown.js';

describe('ReplicaCooldown', () => {
  it('starts a cooldown at the third broken attempt in the window, and ends it in time', () => {
    const cooldown = new ReplicaCooldown();
    expect(cooldown.recordBrokenAttempt(0)).toBeUndefined();
    expect(cooldown.recordBrokenAttempt(2_500)).toBeUndefined();
    expect(cooldown.recordBrokenAttempt(3_000)).toBeUndefined();
    expect(cooldown.recordBrokenAttempt(3_500)).toBe(cooldownOptions.minDuration);
    expect(cooldown.isActive(5_499)).toBe(true);
    expect(cooldown.isActive(5_500)).toBe(false);
  });

  it('doubles the cooldown if attempts break again, and resets it after a quiet period', () => {
    const cooldown = new ReplicaCooldown();
    const breakThreeTimes = (at: number) =>
      [0, 1, 2].map((after) => cooldown.recordBrokenAttempt(at + after)).at(-1);
    expect(breakThreeTimes(0)).toBe(2_000);
    // Requests that were in flight change nothing.
    expect(breakThreeTimes(1_000)).toBeUndefined();
    expect(breakThreeTimes(3_000)).toBe(4_000);
    expect(breakThreeTimes(8_000)).toBe(8_000);
    expect(breakThreeTimes(17_000)).toBe(8_000);
    expect(breakThreeTimes(60_000)).toBe(2_000);
  });
});

describe('daemons that announce broken attempts', () => {
  const engines = ['e-1', 'e-2'].map((id) => createReplica(id, { service: 'llm' }));

  function submit(harness: CoreHarness, id: string): string {
    const prompt = createPrompt([['own', 500]]);
    harness.submit(createRequest(id, { service: 'llm', prompt, maxAttempts: 1, deadline: 5_000 }));
    return harness.getAttemptedReplicas(id).at(-1)!;
  }

  // A replica breaks all requests while its health check succeeds. Each of 74 daemons sends it
  // one request in ten seconds. If only three consecutive broken attempts of one daemon count, a
  // tenth of all requests fails for as long as the fault lasts.
  it('avoid a replica that broke requests of peers, without a broken attempt of their own', () => {
    const harness = new CoreHarness([createEngineService('llm')], engines);
    ['d-2', 'd-3', 'd-4'].forEach((peer) =>
      harness.core.handle({
        kind: 'peer-update',
        peer,
        update: { kind: 'attempt-broken', replica: 'e-1' },
      }),
    );
    expect(harness.getEffects('start-cooldown')).toMatchObject([
      { replica: { id: 'e-1' }, span: 2_000 },
    ]);
    const replicas = Array.from({ length: 10 }, (_item, index) => submit(harness, `r-${index}`));
    expect(new Set(replicas)).toEqual(new Set(['e-2']));
  });

  it('announce each broken attempt of their own', () => {
    const harness = new CoreHarness([createEngineService('llm')], engines);
    const engine = submit(harness, 'r-1');
    harness.end('r-1', 1, AttemptEnd.Broken);
    const updates = harness.getEffects('share').map((effect) => effect.update);
    expect(updates).toContainEqual({ kind: 'attempt-broken', replica: engine });
  });

  it('still use the replica if there is no other', () => {
    const harness = new CoreHarness([createEngineService('llm')], engines.slice(0, 1));
    ['d-2', 'd-3', 'd-4'].forEach((peer) =>
      harness.core.handle({
        kind: 'peer-update',
        peer,
        update: { kind: 'attempt-broken', replica: 'e-1' },
      }),
    );
    expect(submit(harness, 'r-1')).toBe('e-1');
  });
});
