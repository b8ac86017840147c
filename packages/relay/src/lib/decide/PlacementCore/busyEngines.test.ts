import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';

// In a burst of long prompts an engine has a queue of over a second. Each of 65 daemons has one or two
// requests there, so that a daemon hears nothing of the engine while its request waits. Silence of 1.2 s
// was taken for death and told to all; three such words within two seconds took the engine from the
// whole fleet for 2, 4 and 8 s, its work went to the others, and these fell silent in turn. In the first
// 18 s of a day without any fault the daemons wrote 777 lines 'replica-suspect', all with the reason
// 'nothing comes from it', and 5,072 lines 'replica-avoided': 18 of 42 engines were left to all.
describe('engines with long queues', () => {
  function createHarness() {
    const harness = new CoreHarness([createEngineService('llm')], createEngines(3));
    const submit = (id: string) =>
      harness.submit(
        createRequest(id, {
          service: 'llm',
          prompt: createPrompt([[`own-${id}`, 3_000]]),
          repeatable: false,
          latencyTarget: 600,
          deadline: 10_000,
        }),
      );
    ['a', 'b', 'c'].forEach(submit);
    return { harness, submit };
  }

  it('stay in use while they answer that they live, however long a prompt waits', () => {
    const { harness, submit } = createHarness();
    harness.answerLivenessChecks(true);
    harness.clock.advance(6_000);
    expect(harness.get('suspect')).toEqual([]);
    expect(harness.get('start-cooldown')).toEqual([]);
    const more = ['d', 'e', 'f', 'g', 'h', 'i'];
    more.forEach(submit);
    const used = more.flatMap((id) => harness.getReplicas(id));
    expect(new Set(used).size).toBe(3);
  });

  it('are left when they give no sign of life, and all daemons are told once', () => {
    const { harness } = createHarness();
    harness.answerLivenessChecks(false);
    harness.clock.advance(6_000);
    expect(harness.get('suspect').map(({ replica }) => replica.id)).toEqual(
      expect.arrayContaining(['e-0', 'e-1', 'e-2']),
    );
    const told = harness
      .get('share')
      .flatMap(({ update: news }) => (news.kind === 'attempt-broken' ? [news.replica] : []));
    expect(told.sort()).toEqual(['e-0', 'e-1', 'e-2']);
  });

  // An engine reads one prompt after the other. The time since the oldest unread one was sent counted
  // as reading of all that is unread, also while that one waited behind others: an engine with four of
  // eight prompts still to read, 12,000 tokens, seemed to have nothing to do, and got the next ones as
  // well. In a burst first tokens came after 1,200 ms where 424 were expected (median).
  it('have still to read what was sent there, also when it has waited for long', () => {
    const harness = new CoreHarness([createEngineService('llm')], createEngines(1));
    const submit = (id: string) => {
      const prompt = createPrompt([[`own-${id}`, 3_000]]);
      harness.submit(createRequest(id, { service: 'llm', prompt, deadline: 10_000 }));
    };
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
    ids.forEach(submit);
    // At 40 tokens a millisecond a prompt takes 75 ms.
    ids.slice(0, 4).forEach((id) => {
      harness.clock.advance(75);
      harness.core.handle({ kind: 'first-byte-received', id, attempt: 1 });
    });
    submit('next');
    const { choice } = harness.get('send').at(-1)!;
    expect(choice.tokensAhead).toBeGreaterThan(13_000);
    expect(choice.tokensAhead).toBeLessThan(16_000);
  });
});
