import { PrefixCache } from './PrefixCache.js';
import type { CacheChange } from './PrefixCache.js';

describe('PrefixCache', () => {
  it('evicts the least recently used prompt, its tail before its head', () => {
    const changes: CacheChange[] = [];
    const cache = new PrefixCache(4, (change) => changes.push(change));
    cache.store([1, 2]);
    cache.store([3, 4]);
    expect(cache.match([1, 2, 9])).toBe(2);
    cache.store([5]);
    expect(cache.match([3, 4])).toBe(1);
    expect(changes.filter(({ kind }) => kind === 'evicted')).toEqual([
      { kind: 'evicted', block: 4 },
    ]);
    cache.store([6, 7, 8, 9, 10]);
    expect(cache.getSize()).toBe(4);
    expect(cache.match([6, 7, 8, 9, 10])).toBe(4);
  });
});
