import { AttemptKeys } from './AttemptKeys.js';

describe('AttemptKeys', () => {
  // A daemon is killed and restarts before its peers have removed it. If its first attempts reuse
  // the keys of the previous run, peers count the load of the previous run instead of the new one.
  it('returns unique keys, also across restarts', () => {
    const runs = [1_000, 3_500, 60_000].map((start) => new AttemptKeys(start));
    const keys = runs.flatMap((run) => Array.from({ length: 500 }, () => run.next()));
    expect(new Set(keys).size).toBe(keys.length);
    keys.forEach((key) => expect(key.length).toBeLessThan(6));
  });
});
