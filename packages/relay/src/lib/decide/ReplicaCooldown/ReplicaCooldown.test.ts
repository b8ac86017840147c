import {
  createEngineService,
  createPrompt,
  createReplica,
  createRequest,
} from '../../../test/fixtures.js';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { AttemptEnd } from '../messages.js';
import { BreakWindow, breakOptions } from '../ReplicaCooldown/ReplicaCooldown.js';

describe('BreakWindow', () => {
  it('avoids a replica from the third break in the window on, and no longer than the span', () => {
    const breaks = new BreakWindow();
    expect(breaks.note(0)).toBeUndefined();
    expect(breaks.note(2_500)).toBeUndefined();
    expect(breaks.note(3_000)).toBeUndefined();
    expect(breaks.note(3_500)).toBe(breakOptions.firstSpan);
    expect(breaks.isAvoided(5_499)).toBe(true);
    expect(breaks.isAvoided(5_500)).toBe(false);
  });

  it('avoids it longer each time it breaks again, and begins anew after calm', () => {
    const breaks = new BreakWindow();
    const convict = (at: number) => [0, 1, 2].map((after) => breaks.note(at + after)).at(-1);
    expect(convict(0)).toBe(2_000);
    // Requests that were under way there change nothing.
    expect(convict(1_000)).toBeUndefined();
    expect(convict(3_000)).toBe(4_000);
    expect(convict(8_000)).toBe(8_000);
    expect(convict(17_000)).toBe(8_000);
    expect(convict(60_000)).toBe(2_000);
  });
});

describe('daemons that tell each other of breaks', () => {
  const engines = ['e-1', 'e-2'].map((id) => createReplica(id, { service: 'llm' }));

  function submit(harness: CoreHarness, id: string): string {
    const prompt = createPrompt([['own', 500]]);
    harness.submit(createRequest(id, { service: 'llm', prompt, maxAttempts: 1, deadline: 5_000 }));
    return harness.getReplicas(id).at(-1)!;
  }

  // Symptom: a tenth of all requests fails for as long as a replica lies about its health. Sequence:
  // each of 74 daemons sends it a request in ten seconds, which breaks. Cause: only three breaks in
  // a row at one daemon counted.
  it('avoid a replica that broke others’ requests, without a break of their own', () => {
    const harness = new CoreHarness([createEngineService('llm')], engines);
    ['d-2', 'd-3', 'd-4'].forEach((peer) =>
      harness.core.handle({
        kind: 'peer-update',
        peer,
        update: { kind: 'attempt-broken', replica: 'e-1' },
      }),
    );
    expect(harness.get('start-cooldown')).toMatchObject([{ replica: { id: 'e-1' }, span: 2_000 }]);
    const places = Array.from({ length: 10 }, (_item, index) => submit(harness, `r-${index}`));
    expect(new Set(places)).toEqual(new Set(['e-2']));
  });

  it('tell of each break of their own', () => {
    const harness = new CoreHarness([createEngineService('llm')], engines);
    const engine = submit(harness, 'r-1');
    harness.end('r-1', 1, AttemptEnd.Broken);
    const news = harness.get('share').map((effect) => effect.update);
    expect(news).toContainEqual({ kind: 'attempt-broken', replica: engine });
  });

  it('still use it where there is no other', () => {
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
