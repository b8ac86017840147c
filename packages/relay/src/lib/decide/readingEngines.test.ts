import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../test/fixtures.js';
import { CoreHarness } from '../../test/CoreHarness.js';
import { AttemptEnd } from './messages.js';

const ENGINES = createEngines(12);

describe('the parting of engines', () => {
  /** Places a request. */
  function submit(harness: CoreHarness, id: string, tokens: number, pauseTarget: number): string {
    const prompt = createPrompt([[id, tokens]]);
    harness.submit(createRequest(id, { service: 'llm', prompt, pauseTarget, deadline: 60_000 }));
    return harness.getReplicas(id).at(-1)!;
  }

  // Load pattern: a burst of long prompts in a large fleet. They need all engines but one, and the
  // short questions of all daemons meet at that one. Each daemon has few there, so that its own
  // never fill the slots; all together they did, and hundreds were turned away.
  it('sends a question elsewhere once all daemons together have filled its engine', () => {
    const service = createEngineService('llm');
    const slots = 8;
    /** A daemon after a burst of prompts. */
    const createHarness = () => {
      const harness = new CoreHarness(
        [{ ...service, engine: { ...service.engine!, slots, eventTokens: 5 } }],
        ENGINES,
      );
      const prompts = Array.from({ length: 24 }, (_item, index) => `prompt-${index}`);
      prompts.forEach((id) => submit(harness, id, 6_000, 2_000));
      harness.clock.advance(250);
      prompts.forEach((id) => harness.end(id, 1, AttemptEnd.Completed));
      return harness;
    };
    const engine = submit(createHarness(), 'question', 200, 200);
    const attempts = Array.from({ length: slots }, (_item, index) => ({
      key: `other-${index}/1`,
      replica: engine,
      missingTokens: 0,
      memoryTokens: 500,
      pauseTarget: 200,
      isAnswering: true,
    }));
    const harness = createHarness();
    harness.core.handle({ kind: 'peer-news', peer: 'd-2', news: { kind: 'all', attempts } });
    expect(submit(harness, 'question', 200, 200)).not.toBe(engine);
  });
});
