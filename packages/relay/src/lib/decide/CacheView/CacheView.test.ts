import { createPrompt } from '../../../test/fixtures.js';
import { CacheView } from './CacheView.js';

const PROMPT = createPrompt([
  ['catalogue', 2_000],
  ['session', 1_000],
  ['own', 300],
]);

function add(part: string, tokens: number) {
  return { kind: 'added' as const, part, tokens, model: 'm' };
}

describe('CacheView', () => {
  it('counts a part only if all parts before it are cached', () => {
    const cache = new CacheView();
    cache.apply([add('session', 1_000)]);
    expect(cache.getCached(PROMPT, 0)).toBe(0);
    cache.apply([add('catalogue', 2_000)]);
    expect(cache.getCached(PROMPT, 0)).toBe(3_000);
  });

  it('counts the rest of a partially evicted part, and nothing after it', () => {
    const cache = new CacheView();
    cache.apply([add('catalogue', 2_000), add('session', 1_000)]);
    cache.apply([{ kind: 'removed', part: 'catalogue', tokens: 500, model: 'm' }]);
    expect(cache.getCached(PROMPT, 0)).toBe(500);
    cache.apply([{ kind: 'removed', part: 'catalogue', tokens: 0, model: 'm' }]);
    expect(cache.getCached(PROMPT, 0)).toBe(0);
  });

  // Several requests of one session arrive before the engine's events do. If only the events
  // counted, the session's prompt would be prefilled on every engine.
  it('counts prompts that were sent until their confirmation is overdue', () => {
    const cache = new CacheView();
    cache.addExpected(PROMPT, 0);
    expect(cache.getCached(PROMPT, 2_999)).toBe(3_300);
    expect(cache.getCached(PROMPT, 3_001)).toBe(0);
  });

  it('counts only prefilled prompts as copyable', () => {
    const cache = new CacheView();
    cache.addExpected(PROMPT, 0);
    expect(cache.getCopyable(PROMPT, 10)).toBe(0);
    cache.recordPrefill(PROMPT, 20);
    expect(cache.getCopyable(PROMPT, 30)).toBe(3_300);
  });

  it('distinguishes the parts of different models', () => {
    const cache = new CacheView();
    cache.apply([{ ...add('catalogue', 2_000), model: 'n' }]);
    expect(cache.getCached(PROMPT, 0)).toBe(0);
  });

  it('forgets everything after a restart of the engine, and accepts a full list', () => {
    const cache = new CacheView();
    cache.apply([add('catalogue', 2_000)]);
    cache.clear();
    expect(cache.getCached(PROMPT, 0)).toBe(0);
    cache.replace([add('catalogue', 2_000), add('session', 1_000)]);
    expect(cache.size).toBe(2);
  });
});
