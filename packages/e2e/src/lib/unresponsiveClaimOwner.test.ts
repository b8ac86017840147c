import type { Backend } from '../test/Backend.js';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller, describeResult, isAnswered } from '../test/FleetCaller.js';
import { createKey, startShards } from '../test/shards.js';

const TEST_TIMEOUT_MS = 60_000;

// A shop places a hold, its connection breaks, and it asks again at another daemon. The owner of the
// key's shard gives no answer in time, so that daemon can't look the key up. It told the shop that the
// request had not run while the hold of the first call was running; a shop that believes it takes a
// new key, and the order is frozen twice. "This attempt was not sent" was passed off as "no attempt of
// this key was sent", which only a grant of the key proves. The log of the daemon that was asked again:
// `claim-ended answer=unavailable reason=timeout calls=21 spent=1858`, with `none` for the killed
// owner and `not-owner` for all others, 25 ms before its caller had "claim-unavailable not-run".
describe('a hold that is asked for again while the owner of its key gives no answer', () => {
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
    'is not called "not run", and its answer is had when the owner is back',
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
