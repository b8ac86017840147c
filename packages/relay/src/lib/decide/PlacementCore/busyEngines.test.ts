import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';

// In a burst of long prompts an engine has a queue of over a second, and a daemon of 65 has only one or
// two requests there. Without liveness checks, daemons announced an engine as broken after 1.2 s without
// a response. Three such updates within 2 s put it into cooldown for 2, 4 and 8 s for the whole fleet,
// and its load then made other engines unresponsive. In the first 18 s of a load without faults, there
// were 777 'replica-suspect' and 5,072 'replica-avoided' log lines, and 18 of 42 engines were in use.
describe('engines with long queues', () => {
  function createHarness() {
    const harness = new CoreHarness([createEngineService('llm')], createEngines(3));
    const submit = (id: string) =>
      harness.submit(
        createRequest(id, {
          service: 'llm',
          prompt: createPrompt([[`own-${id}`, 3_000]]),
          isRetryable: false,
          latencyTarget: 600,
          deadline: 10_000,
        }),
      );
    ['a', 'b', 'c'].forEach(submit);
    return { harness, submit };
  }

  it('stay in use while they pass liveness checks, however long a prompt waits', () => {
    const { harness, submit } = createHarness();
    harness.answerLivenessChecks(true);
    harness.clock.advance(6_000);
    expect(harness.getEffects('suspect')).toEqual([]);
    expect(harness.getEffects('start-cooldown')).toEqual([]);
    const more = ['d', 'e', 'f', 'g', 'h', 'i'];
    more.forEach(submit);
    const used = more.flatMap((id) => harness.getAttemptedReplicas(id));
    expect(new Set(used).size).toBe(3);
  });

  it('become suspect when they fail liveness checks, which is announced once per engine', () => {
    const { harness } = createHarness();
    harness.answerLivenessChecks(false);
    harness.clock.advance(6_000);
    expect(harness.getEffects('suspect').map(({ replica }) => replica.id)).toEqual(
      expect.arrayContaining(['e-0', 'e-1', 'e-2']),
    );
    const announced = harness
      .getEffects('share')
      .flatMap(({ update }) => (update.kind === 'attempt-broken' ? [update.replica] : []));
    expect(announced.sort()).toEqual(['e-0', 'e-1', 'e-2']);
  });

  // An engine prefills one prompt after another. Guards against counting the time that a prompt waits
  // behind others as prefill: an engine with four of eight prompts (12,000 tokens) left seemed idle and
  // got the next ones too. In a burst, the median first token took 1,200 ms where 424 were expected.
  it('have all unfinished prompts in their backlog, even after a long wait', () => {
    const harness = new CoreHarness([createEngineService('llm')], createEngines(1));
    const submit = (id: string) => {
      const prompt = createPrompt([[`own-${id}`, 3_000]]);
      harness.submit(createRequest(id, { service: 'llm', prompt, deadline: 10_000 }));
    };
    const ids = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
    ids.forEach(submit);
    // At 40 tokens per millisecond, the prefill of a prompt takes 75 ms.
    ids.slice(0, 4).forEach((id) => {
      harness.clock.advance(75);
      harness.core.handle({ kind: 'first-byte-received', id, attempt: 1 });
    });
    submit('next');
    const { choice } = harness.getEffects('send').at(-1)!;
    expect(choice.tokensAhead).toBeGreaterThan(13_000);
    expect(choice.tokensAhead).toBeLessThan(16_000);
  });
});
