import {
  createEngineService,
  createEngines,
  createPrompt,
  createRequest,
} from '../../../test/fixtures.js';
import { CoreHarness } from '../../../test/CoreHarness.js';
import { AttemptEnd } from '../messages.js';

const ENGINES = createEngines(12);

describe('getEngineEstimate', () => {
  /** @returns the engine that the request was sent to */
  function submit(harness: CoreHarness, id: string, tokens: number, pauseTarget: number): string {
    const prompt = createPrompt([[id, tokens]]);
    harness.submit(createRequest(id, { service: 'llm', prompt, pauseTarget, deadline: 60_000 }));
    return harness.getAttemptedReplicas(id).at(-1)!;
  }

  // Load pattern: a burst of long prompts in a large fleet occupies all engines but one, and the
  // short requests of all daemons go to that one. The requests of a single daemon never fill its
  // slots, but those of all daemons did, and hundreds were rejected.
  it('avoids an engine whose slots are filled by the requests of all daemons together', () => {
    const service = createEngineService('llm');
    const slots = 8;
    /** A daemon that has just sent a burst of prompts. */
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
      isResponding: true,
    }));
    const harness = createHarness();
    harness.core.handle({
      kind: 'peer-update',
      peer: 'd-2',
      update: { kind: 'attempt-list', attempts },
    });
    expect(submit(harness, 'question', 200, 200)).not.toBe(engine);
  });

  /** Engines, the first `count` of which run streams that have met their pause target so far. */
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
      isResponding: true,
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

  // Load pattern: streams, and more long prompts than can be served in time. Streams missed their
  // pause targets and the prompts were late as well, because the cost of a prompt's wait on other
  // engines was unbounded while the cost of delaying a dozen streams was bounded.
  it('keeps prompts off engines with streams, however long the wait on other engines', () => {
    const { replicas } = createStreams(4, 12_000);
    const withStreams = ['e-0', 'e-1', 'e-2', 'e-3'];
    expect(replicas.filter((replica) => withStreams.includes(replica))).toEqual([]);
  });

  it('uses all engines for prompts that are too short to delay a stream', () => {
    const { replicas } = createStreams(4, 1_500);
    expect(new Set(replicas).size).toBe(12);
  });

  it('keeps streams off engines that are busy with prefill', () => {
    const { harness, replicas } = createStreams(1, 12_000);
    const used = Array.from({ length: 6 }, (_item, index) =>
      submit(harness, `question-${index}`, 200, 200),
    );
    expect(new Set(replicas).size).toBe(11);
    expect(new Set(used)).toEqual(new Set(['e-0']));
  });

  // Streams that have already missed their pause target cannot be harmed any more, so that further
  // prompts go to their engines and spare the engines whose streams are still on time.
  it('sends prompts to engines whose streams have already missed their pause target', () => {
    const { harness, replicas } = createStreams(12, 30_000);
    expect(new Set(replicas).size).toBeLessThan(8);
    const harmed = harness.getEffects('send').map(({ choice }) => choice.pauses?.harmed);
    expect(harmed.filter((count) => count === 0).length).toBeGreaterThan(16);
  });
});
