import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { AttemptEnd } from '../messages.js';

const ENGINES = createEngines(12);

describe('the choice of an engine', () => {
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
    harness.core.handle({
      kind: 'peer-update',
      peer: 'd-2',
      update: { kind: 'attempt-list', attempts },
    });
    expect(submit(harness, 'question', 200, 200)).not.toBe(engine);
  });

  /** Engines of which the first `count` have streams under way, in time so far. */
  function createStreams(count: number, tokens: number) {
    const service = createEngineService('llm');
    const harness = new CoreHarness(
      [{ ...service, engine: { ...service.engine!, eventTokens: 5 } }],
      ENGINES,
    );
    const attempts = Array.from({ length: 12 * count }, (_item, index) => ({
      key: `s-${index}`,
      replica: `e-${index % count}`,
      missingTokens: 0,
      memoryTokens: 1_000,
      pauseTarget: 200,
      isAnswering: true,
    }));
    harness.core.handle({
      kind: 'peer-update',
      peer: 'd-2',
      update: { kind: 'attempt-list', attempts },
    });
    const replicas = Array.from({ length: 24 }, (_item, index) =>
      submit(harness, `prompt-${index}`, tokens, 2_000),
    );
    return { harness, replicas };
  }

  // Load pattern: more long prompts than can be in time, beside streams. Symptom: answers that were in
  // time so far pause too long, and the prompts are late all the same. Cause: what a prompt waits
  // elsewhere grew without bound, and what it does to a dozen streams didn't.
  it('keeps prompts from engines with streams, however long they wait elsewhere', () => {
    const { replicas } = createStreams(4, 12_000);
    const withStreams = ['e-0', 'e-1', 'e-2', 'e-3'];
    expect(replicas.filter((replica) => withStreams.includes(replica))).toEqual([]);
  });

  it('uses all engines for prompts that are too short to harm a stream', () => {
    const { replicas } = createStreams(4, 1_500);
    expect(new Set(replicas).size).toBe(12);
  });

  it('sends a stream away from engines that read', () => {
    const { harness, replicas } = createStreams(1, 12_000);
    const used = Array.from({ length: 6 }, (_item, index) =>
      submit(harness, `question-${index}`, 200, 200),
    );
    expect(new Set(replicas).size).toBe(11);
    expect(new Set(used)).toEqual(new Set(['e-0']));
  });

  // Streams that already pause for too long have nothing to lose: the next prompts go to them as well,
  // and leave engines alone where others are still in time.
  it('gathers prompts where streams are late already', () => {
    const { harness, replicas } = createStreams(12, 30_000);
    expect(new Set(replicas).size).toBeLessThan(8);
    const harmed = harness.get('send').map(({ choice }) => choice.pauses?.harmed);
    expect(harmed.filter((count) => count === 0).length).toBeGreaterThan(16);
  });
});
