import { Fleet } from '../test/Fleet.js';
import { FleetCaller, LOST_CLAIM, describeResult, isFinal } from '../test/FleetCaller.js';
import type { Backend } from '../test/Backend.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';
import { pollUntil } from '../test/pollUntil.js';
import { SHARDS, createKey, startShards } from '../test/shards.js';

const RUNNING = 'idempotency-key-in-progress unknown';

describe('a request that may not be repeated', () => {
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

  // Symptom: an order frozen twice. Sequence: an impatient caller asks two daemons at once, or asks
  // another one after it had its answer. Cause: each daemon knows only its own requests.
  it('runs once when daemons are asked at once, and all callers get its answer', async () => {
    const keys = Array.from({ length: SHARDS }, (_, shard) => createKey(shard));
    await Promise.all(
      keys.map(async (key) => {
        await Promise.all(daemons.map((daemon) => caller.placeHold(daemon, key)));
        await Promise.all(daemons.map((daemon) => caller.placeHoldUntilAnswered(daemon, key)));
        expect(await countRuns(key)).toBe(1);
      }),
    );
  });

  // Symptom: a second run of a hold that took long. Sequence: the caller asks again elsewhere while
  // the first is running. Cause: a request without an outcome yet is taken for none.
  it('says that it is running to a repeat while it runs', async () => {
    const key = createKey(0);
    await portal.injectFault({ kind: 'slow', factor: 100 });
    const first = caller.placeHold(daemons[0], key);
    await portal.waitForRuns((runs) => runs.some(({ idempotencyKey }) => idempotencyKey === key));
    const repeat = await caller.placeHold(daemons[1], key);
    expect(describeResult(repeat)).toBe(RUNNING);
    expect(Number(repeat.retryAfter)).toBeGreaterThan(0);
    await portal.injectFault({ kind: 'slow', factor: 1 });
    expect(describeResult(await first)).toBe('answered');
    await caller.placeHoldUntilAnswered(daemons[2], key);
    expect(await countRuns(key)).toBe(1);
  });

  // Symptom: a charge that went through is made again. Sequence: the connection to the service
  // breaks after the request left; the caller asks again. Cause: a broken connection taken for a
  // request that did not run.
  it('says "unknown" when its connection broke, and to every repeat', async () => {
    const key = createKey(1);
    await portal.injectFault({ kind: 'drop-after', tokens: 0, count: 1 });
    expect(describeResult(await caller.placeHold(daemons[0], key))).toBe('given-up unknown');
    const repeats = await Promise.all(daemons.map((daemon) => caller.placeHold(daemon, key)));
    expect(repeats.map(describeResult)).toEqual(daemons.map(() => LOST_CLAIM));
    expect(await countRuns(key)).toBe(1);
  });

  // Symptom: the key of a hold that never ran is lost for good. Sequence: the service refuses by a
  // documented answer; the caller asks again elsewhere. Cause: the claim stays after the proof that
  // nothing ran.
  it('may be asked again when it did not run', async () => {
    const key = createKey(2);
    await portal.injectFault({ kind: 'leave' });
    const refused = await caller.placeHold(daemons[0], key);
    expect(describeResult(refused)).toBe('given-up not-run');
    await portal.injectFault({ kind: 'stay' });
    await caller.placeHoldUntilAnswered(daemons[1], key);
    expect(await countRuns(key)).toBe(1);
  });

  // Symptom: a second run, or holds refused for no reason. Sequence: the store takes the claims and
  // the answers are lost. Cause: a commit without an answer taken for one that did not happen, or
  // one's own commit for somebody else's.
  it('runs once though the store loses its confirmations', async () => {
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

  // Symptom: now and then, under load, one of the above. Cause: any of them in combination.
  it('runs at most once while services refuse, break and answer crosswise', async () => {
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
        const told = await pollUntil(() => caller.placeHold(daemons[0], key), isFinal);
        const word = describeResult(told);
        expect(word === 'answered' ? await countRuns(key) : 1).toBe(1);
      }),
    );
  });
});
