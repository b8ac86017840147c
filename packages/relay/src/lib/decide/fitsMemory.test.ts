import { createPrompt } from '../../test/fixtures.js';
import { fitsMemory } from './fitsMemory.js';
import { getMemoryTokens } from './getMemoryTokens.js';
import type { Prompt } from './messages.js';

const CAPACITY = 1_000;

function hold(prompt: Prompt, missingTokens = prompt.inputTokens) {
  return { prompt, missingTokens, memoryTokens: getMemoryTokens(prompt) };
}

describe('fitsMemory', () => {
  it('adds up the prompts and half of the outputs', () => {
    const running = new Set([hold(createPrompt([['a', 400]], 100))]);
    expect(fitsMemory(running, createPrompt([['b', 500]], 100), CAPACITY)).toBe(true);
    expect(fitsMemory(running, createPrompt([['b', 501]], 100), CAPACITY)).toBe(false);
  });

  // Guards against engines that are left nearly empty since their prompts begin with the same part.
  it('counts a prefix that was cached already once', () => {
    const create = (own: string) =>
      createPrompt(
        [
          ['shared', 300],
          [own, 50],
        ],
        0,
      );
    const running = new Set([hold(create('a')), hold(create('b'), 50), hold(create('c'), 50)]);
    expect(fitsMemory(running, create('d'), CAPACITY)).toBe(true);
  });

  // Guards against a request that waits forever since it is larger than any engine.
  it('lets an engine without requests take any', () => {
    expect(fitsMemory(new Set(), createPrompt([['a', 5_000]]), CAPACITY)).toBe(true);
  });

  it('counts attempts of other daemons whose prompts are not known', () => {
    const running = new Set([{ prompt: undefined, missingTokens: 0, memoryTokens: 990 }]);
    expect(fitsMemory(running, createPrompt([['a', 10]], 0), CAPACITY)).toBe(true);
    expect(fitsMemory(running, createPrompt([['a', 11]], 0), CAPACITY)).toBe(false);
  });
});
