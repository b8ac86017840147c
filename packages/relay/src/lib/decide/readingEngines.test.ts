import {
  createEngineService,
  createPrompt,
  createReplica,
  createRequest,
} from '../../test/fixtures.js';
import { CoreHarness } from '../../test/CoreHarness.js';
import { AttemptEnd } from './messages.js';

const ENGINES = Array.from({ length: 12 }, (_item, index) =>
  createReplica(`e-${index}`, { service: 'llm' }),
);

describe('the parting of engines', () => {
  /** Places a request. */
  function submit(harness: CoreHarness, id: string, tokens: number, pauseTarget: number): string {
    const prompt = createPrompt([[id, tokens]]);
    harness.submit(createRequest(id, { service: 'llm', prompt, pauseTarget, deadline: 60_000 }));
    return harness.getReplicas(id).at(-1)!;
  }

  // Load pattern: a burst of long prompts beside many short questions with long answers. As many
  // engines as the prompts need were kept for reading, up to all but one: the questions of a whole
  // fleet met at that one, filled its slots, and were turned away.
  it('fills no engine beyond its slots with answers, whatever the prompts ask for', () => {
    const service = createEngineService('llm');
    const slots = 8;
    const harness = new CoreHarness(
      [{ ...service, engine: { ...service.engine!, slots, eventTokens: 5 } }],
      ENGINES,
    );
    const counts = new Map<string, number>();
    for (let round = 0; round < 24; round += 1) {
      const prompts = Array.from({ length: 10 }, (_item, index) => `prompt-${round}/${index}`);
      prompts.forEach((id) => submit(harness, id, 6_000, 2_000));
      const engine = submit(harness, `question-${round}`, 200, 200);
      counts.set(engine, (counts.get(engine) ?? 0) + 1);
      harness.clock.advance(250);
      prompts.forEach((id) => harness.end(id, 1, AttemptEnd.Completed));
    }
    // Twenty-four answers fill the slots of three engines.
    expect(counts.size).toBeGreaterThanOrEqual(3);
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(slots);
  });
});
