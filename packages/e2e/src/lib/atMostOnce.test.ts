import { Fleet } from '../test/Fleet.js';
import { FleetCaller, LOST_CLAIM, describeResult, isFinal } from '../test/FleetCaller.js';
import type { Backend } from '../test/Backend.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';
import { pollUntil } from '../test/pollUntil.js';
import { SHARDS, createKey, startShards } from '../test/shards.js';

const IN_PROGRESS = 'idempotency-key-in-progress unknown';

describe('a request that is not repeatable', () => {
  const fleet = new Fleet();
  const caller = new FleetCaller();
  let portal: Backend;
  let daemons: [FleetDaemon, FleetDaemon, FleetDaemon];

  beforeAll(async () => {
    await fleet.prepare();
    portal = await fleet.backends.startBackend('portal');
    await fleet.start(3);
    daemons = fleet.daemons as typeof daemons;
    await startShards(daemons, caller);
  });

  afterEach(async () => {
    expect(await fleet.checkHistory(caller.calls)).toEqual([]);
  });

  afterAll(() => fleet.dispose());

  async function countRuns(key: string): Promise<number> {
    const runs = await portal.getRuns();
    return runs.filter(({ idempotencyKey }) => idempotencyKey === key).length;
  }

  // Guards against a hold that is placed twice because each daemon knows only its own requests. An
  // impatient caller sends the request to several daemons at once, or to another daemon after it
  // has been answered.
  it('runs once when several daemons receive it at once, and all callers get its answer', async () => {
    const keys = Array.from({ length: SHARDS }, (_, shard) => createKey(shard));
    await Promise.all(
      keys.map(async (key) => {
        await Promise.all(daemons.map((daemon) => caller.placeHold(daemon, key)));
        await Promise.all(daemons.map((daemon) => caller.placeHoldUntilAnswered(daemon, key)));
        expect(await countRuns(key)).toBe(1);
      }),
    );
  });

  // Guards against a second run of a slow hold. The caller repeats the request at another daemon
  // while the first is still running and has no outcome yet.
  it('is reported as in progress to a repeated call while it runs', async () => {
    const key = createKey(0);
    await portal.injectFault({ kind: 'slow', factor: 100 });
    const first = caller.placeHold(daemons[0], key);
    await portal.waitForRuns((runs) => runs.some(({ idempotencyKey }) => idempotencyKey === key));
    const repeat = await caller.placeHold(daemons[1], key);
    expect(describeResult(repeat)).toBe(IN_PROGRESS);
    expect(Number(repeat.retryAfter)).toBeGreaterThan(0);
    await portal.injectFault({ kind: 'slow', factor: 1 });
    expect(describeResult(await first)).toBe('answered');
    await caller.placeHoldUntilAnswered(daemons[2], key);
    expect(await countRuns(key)).toBe(1);
  });

  // Guards against repeating a charge that went through. The connection to the service breaks after
  // the request was sent, which does not prove that the request did not run.
  it('is reported as unknown when its connection broke, also to every repeated call', async () => {
    const key = createKey(1);
    await portal.injectFault({ kind: 'drop-after', tokens: 0, count: 1 });
    expect(describeResult(await caller.placeHold(daemons[0], key))).toBe('given-up unknown');
    const repeats = await Promise.all(daemons.map((daemon) => caller.placeHold(daemon, key)));
    expect(repeats.map(describeResult)).toEqual(daemons.map(() => LOST_CLAIM));
    expect(await countRuns(key)).toBe(1);
  });

  // Guards against a key that stays claimed although its hold never ran. The service refuses with
  // the documented response, and the caller repeats the request at another daemon.
  it('can be repeated if it did not run', async () => {
    const key = createKey(2);
    await portal.injectFault({ kind: 'leave' });
    const refused = await caller.placeHold(daemons[0], key);
    expect(describeResult(refused)).toBe('given-up not-run');
    await portal.injectFault({ kind: 'stay' });
    await caller.placeHoldUntilAnswered(daemons[1], key);
    expect(await countRuns(key)).toBe(1);
  });

  // Guards against second runs and unjustified refusals when the store commits claims but its
  // responses are lost. A commit without a response may have happened, and a conflict may be with
  // the daemon's own commit.
  it('runs once although responses of the store are lost', async () => {
    await fleet.platform.injectFault({ kind: 'lose-answers', count: 40, keyPrefix: 'claims/' });
    const keys = Array.from({ length: 2 * SHARDS }, (_, place) => createKey(place % SHARDS));
    await Promise.all(
      keys.map(async (key, place) => {
        await caller.placeHoldUntilAnswered(daemons[place % 3]!, key);
        await caller.placeHoldUntilAnswered(daemons[(place + 1) % 3]!, key);
        expect(await countRuns(key)).toBe(1);
      }),
    );
    await fleet.platform.injectFault({ kind: 'up' });
  });

  // Guards against the failures above in combination and under load.
  it('runs at most once while services refuse, drop connections and send answers of other requests', async () => {
    await Promise.all([
      portal.injectFault({ kind: 'refuse', count: 10 }),
      portal.injectFault({ kind: 'drop-after', tokens: 0, count: 10 }),
      portal.injectFault({ kind: 'stray-answers', count: 10 }),
      fleet.platform.injectFault({ kind: 'lose-answers', count: 20, keyPrefix: 'claims/' }),
    ]);
    const keys = Array.from({ length: 60 }, (_, place) => createKey(place % SHARDS));
    await Promise.all(
      keys.map(async (key) => {
        await Promise.all(daemons.map((daemon) => caller.placeHold(daemon, key)));
        const result = await pollUntil(() => caller.placeHold(daemons[0], key), isFinal);
        const word = describeResult(result);
        expect(word === 'answered' ? await countRuns(key) : 1).toBe(1);
      }),
    );
  });
});
