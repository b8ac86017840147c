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
  it('counts a part only if all before it are kept', () => {
    const cache = new CacheView();
    cache.apply([add('session', 1_000)]);
    expect(cache.getCached(PROMPT, 0)).toBe(0);
    cache.apply([add('catalogue', 2_000)]);
    expect(cache.getCached(PROMPT, 0)).toBe(3_000);
  });

  it('counts what is left of a part that was dropped in part, and nothing behind it', () => {
    const cache = new CacheView();
    cache.apply([add('catalogue', 2_000), add('session', 1_000)]);
    cache.apply([{ kind: 'removed', part: 'catalogue', tokens: 500, model: 'm' }]);
    expect(cache.getCached(PROMPT, 0)).toBe(500);
    cache.apply([{ kind: 'removed', part: 'catalogue', tokens: 0, model: 'm' }]);
    expect(cache.getCached(PROMPT, 0)).toBe(0);
  });

  // Symptom: the requests of one session are read at every engine. Sequence: several come within
  // the time that an engine's word takes. Cause: only the engine's word counted.
  it('expects what was sent, until word of the engine is overdue', () => {
    const cache = new CacheView();
    cache.addExpected(PROMPT, 0);
    expect(cache.getCached(PROMPT, 2_999)).toBe(3_300);
    expect(cache.getCached(PROMPT, 3_001)).toBe(0);
  });

  it('lets only what the engine has read be copied', () => {
    const cache = new CacheView();
    cache.addExpected(PROMPT, 0);
    expect(cache.getCopyable(PROMPT, 10)).toBe(0);
    cache.noteRead(PROMPT, 20);
    expect(cache.getCopyable(PROMPT, 30)).toBe(3_300);
  });

  it('knows parts by model', () => {
    const cache = new CacheView();
    cache.apply([{ ...add('catalogue', 2_000), model: 'n' }]);
    expect(cache.getCached(PROMPT, 0)).toBe(0);
  });

  it('forgets everything when the engine started again, and takes a whole list', () => {
    const cache = new CacheView();
    cache.apply([add('catalogue', 2_000)]);
    cache.clear();
    expect(cache.getCached(PROMPT, 0)).toBe(0);
    cache.replace([add('catalogue', 2_000), add('session', 1_000)]);
    expect(cache.size).toBe(2);
  });
});
