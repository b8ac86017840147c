import type { Backend } from '../test/Backend.js';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller, describeResult, isAnswered } from '../test/FleetCaller.js';
import { createKey, startShards } from '../test/shards.js';

const TEST_TIMEOUT_MS = 60_000;

// Guards against a second hold of the same order. A shop loses its connection and repeats the
// request at another daemon, which gets no answer in time from the owner of the key and cannot look
// it up. If it reports "not run" while the first hold runs, the shop takes a new key: only a grant
// of the key proves that no attempt with it was sent.
describe('a hold that is repeated while the owner of its key does not respond', () => {
  const fleet = new Fleet();
  const caller = new FleetCaller();
  let portal: Backend;

  beforeAll(async () => {
    await fleet.prepare();
    portal = await fleet.backends.startBackend('portal');
    await fleet.start(3);
  }, TEST_TIMEOUT_MS);

  afterAll(() => fleet.dispose());

  it(
    'is not reported as not run, and is answered when the owner is back',
    async () => {
      const shards = await startShards(fleet.daemons, caller);
      const [shard, { owner }] = [...shards][0]!;
      const [entry, other] = fleet.daemons.filter((daemon) => daemon !== owner);
      const key = createKey(shard);
      await portal.injectFault({ kind: 'slow', factor: 200 });
      const first = caller.placeHold(entry!, key);
      await portal.waitForRuns((runs) => runs.some(({ idempotencyKey }) => idempotencyKey === key));
      owner.freeze();
      const again = await caller.placeHold(other!, key);
      owner.resume();
      expect(describeResult(again)).toMatch(/ unknown$/);
      expect(Number(again.retryAfter)).toBeGreaterThan(0);
      expect(isAnswered(await first)).toBe(true);
      await caller.placeHoldUntilAnswered(other!, key);
      const runs = await portal.getRuns();
      expect(runs.filter(({ idempotencyKey }) => idempotencyKey === key)).toHaveLength(1);
      expect(await fleet.checkHistory(caller.calls)).toEqual([]);
    },
    TEST_TIMEOUT_MS,
  );
});
