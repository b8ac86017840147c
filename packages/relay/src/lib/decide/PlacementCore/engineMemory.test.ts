import { CoreHarness } from '../../../test/CoreHarness.js';
import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import { AttemptEnd } from '../messages.js';

const ENGINES = 2;

describe('engines whose memory is taken', () => {
  function createHarness() {
    const service = createEngineService('llm');
    const engine = { ...service.engine!, memoryTokens: 4_000 };
    return new CoreHarness([{ ...service, engine }], createEngines(ENGINES));
  }

  function submit(harness: CoreHarness, id: string): void {
    const prompt = createPrompt([[`own-${id}`, 3_000]]);
    harness.submit(createRequest(id, { service: 'llm', prompt, deadline: 10_000 }));
  }

  function reportSlowdown(harness: CoreHarness): void {
    const report = { running: 0, waiting: 0, slots: 96, slowdown: 1 };
    harness.core.handle({ kind: 'load', replica: 'e-0', report });
  }

  // Guards against engines that crash, or preempt what they run, since they are sent more than they can hold.
  it('get another request only once one of theirs has ended', () => {
    const harness = createHarness();
    reportSlowdown(harness);
    ['a', 'b', 'c'].forEach((id) => submit(harness, id));
    expect(['a', 'b'].flatMap((id) => harness.getAttemptedReplicas(id)).sort()).toEqual([
      'e-0',
      'e-1',
    ]);
    expect(harness.getAttemptedReplicas('c')).toEqual([]);
    harness.end('a', 1, AttemptEnd.Completed);
    expect(harness.getAttemptedReplicas('c')).toEqual(harness.getAttemptedReplicas('a'));
  });

  it('get it at once if they do not state how long work takes', () => {
    const harness = createHarness();
    ['a', 'b', 'c'].forEach((id) => submit(harness, id));
    expect(harness.getAttemptedReplicas('c')).toHaveLength(1);
  });
});
