import type { Backend } from '../test/Backend.js';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller, LOST_CLAIM, describeResult, isFinal } from '../test/FleetCaller.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';
import { pollUntil } from '../test/pollUntil.js';
import { createKey, startShards } from '../test/shards.js';
import type { OwnedShard } from '../test/shards.js';

/**
 * A daemon is declared dead some seconds after it ends, and its shards are taken over after that.
 */
const TEST_TIMEOUT_MS = 120_000;

const IN_PROGRESS = 'idempotency-key-in-progress unknown';

describe('a request that is not repeatable, when daemons are lost', () => {
  const fleet = new Fleet();
  const caller = new FleetCaller();
  let portal: Backend;
  let shards: ReadonlyMap<number, OwnedShard>;

  beforeAll(async () => {
    await fleet.prepare();
    portal = await fleet.backends.startBackend('portal');
    await fleet.start(8);
  }, TEST_TIMEOUT_MS);

  beforeEach(async () => {
    await fleet.waitUntilJoined();
    shards = await startShards(fleet.daemons, caller);
  }, TEST_TIMEOUT_MS);

  afterEach(async () => {
    expect(await fleet.checkHistory(caller.calls)).toEqual([]);
  });

  afterAll(() => fleet.dispose());

  /** Returns a shard with its owner, its witness and two daemons that are neither. */
  function getRoles() {
    const [shard, { owner, witness: witnessId }] = [...shards][0]!;
    const rest = fleet.daemons.filter((daemon) => daemon !== owner && daemon.id !== witnessId);
    const [entry, other] = rest as [FleetDaemon, FleetDaemon];
    const witness = fleet.daemons.find(({ id }) => id === witnessId)!;
    return { shard, owner, entry, other, witness };
  }

  async function countRuns(key: string): Promise<number> {
    const runs = await portal.getRuns();
    return runs.filter(({ idempotencyKey }) => idempotencyKey === key).length;
  }

  /** Places a slow hold and resolves once it runs. */
  async function startHold(entry: FleetDaemon, key: string) {
    await portal.injectFault({ kind: 'slow', factor: 200 });
    const answer = caller.placeHold(entry, key);
    await portal.waitForRuns((runs) => runs.some(({ idempotencyKey }) => idempotencyKey === key));
    await portal.injectFault({ kind: 'slow', factor: 1 });
    return { answer };
  }

  /** Repeats the call until the result of the key is final. */
  async function waitForFinalResult(entry: FleetDaemon, key: string): Promise<string> {
    return describeResult(await pollUntil(() => caller.placeHold(entry, key), isFinal));
  }

  // Guards against a hold that is placed twice because its claim is lost with its entry daemon. The
  // daemon is killed after it sent the hold to the service, and the disconnected caller repeats the
  // request at another daemon.
  it(
    'is never run again when its entry daemon was killed after dispatch',
    async () => {
      const { shard, entry, other } = getRoles();
      const key = createKey(shard);
      const { answer } = await startHold(entry, key);
      await fleet.killAndRemove(entry);
      expect(describeResult(await answer)).toBe('cut');
      expect([IN_PROGRESS, LOST_CLAIM]).toContain(
        describeResult(await caller.placeHold(other, key)),
      );
      expect(await waitForFinalResult(other, key)).toBe(LOST_CLAIM);
      expect(await countRuns(key)).toBe(1);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a second run or a lost answer when the owner of a shard is killed, with one hold
  // already answered and another running. The store may not contain everything that the previous
  // owner granted or recorded.
  it(
    'keeps its answer when the owner of its shard was killed',
    async () => {
      const { shard, owner, entry, other } = getRoles();
      const [done, running, later] = [createKey(shard), createKey(shard), createKey(shard)];
      await caller.placeHoldUntilAnswered(entry, done);
      const { answer } = await startHold(entry, running);
      await fleet.killAndRemove(owner);
      expect(describeResult(await answer)).toBe('answered');
      expect(await waitForFinalResult(other, done)).toBe('answered');
      expect(await waitForFinalResult(other, running)).toBe('answered');
      await caller.placeHoldUntilAnswered(other, later);
      expect(await Promise.all([done, running, later].map(countRuns))).toEqual([1, 1, 1]);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against two daemons that grant the same key. The owner is frozen while another daemon
  // takes over its shard and grants the key. When it resumes with a request for the same key, it
  // still believes that it owns the shard.
  it(
    'is not granted by an owner that was frozen and resumes',
    async () => {
      const { shard, owner, entry, other } = getRoles();
      const [key, next] = [createKey(shard), createKey(shard)];
      owner.freeze();
      const pending = caller.placeHold(owner, key);
      await caller.placeHoldUntilAnswered(entry, key);
      owner.resume();
      await pending;
      await caller.placeHoldUntilAnswered(owner, key);
      await Promise.all([entry, owner, other].map((daemon) => caller.placeHold(daemon, next)));
      await caller.placeHoldUntilAnswered(owner, next);
      expect(await Promise.all([key, next].map(countRuns))).toEqual([1, 1]);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against a second run, after an outage of the store, of a hold that was granted during
  // it. The owner granted the key with only its witness, then was killed. The next owner must not
  // rely on the store alone.
  it(
    'is never run again when the owner was killed during an outage of the store',
    async () => {
      const { shard, owner, entry, other } = getRoles();
      const [done, running] = [createKey(shard), createKey(shard)];
      await fleet.platform.injectFault({ kind: 'down' });
      await caller.placeHoldUntilAnswered(entry, done);
      const { answer } = await startHold(entry, running);
      await fleet.killAndRemove(owner);
      expect(describeResult(await answer)).toBe('answered');
      await caller.placeHold(other, done);
      await fleet.platform.injectFault({ kind: 'up' });
      expect(await waitForFinalResult(other, done)).toBe('answered');
      expect(await waitForFinalResult(other, running)).toBe('answered');
      expect(await Promise.all([done, running].map(countRuns))).toEqual([1, 1]);
    },
    TEST_TIMEOUT_MS,
  );

  // Guards against the same failure when the witness is killed too, so that no daemon knows of the
  // grant. An unknown key must not be taken for a new one.
  it(
    'is reported as unknown when neither owner nor witness is left',
    async () => {
      const { shard, owner, witness, other } = getRoles();
      const key = createKey(shard);
      await fleet.platform.injectFault({ kind: 'down' });
      await caller.placeHoldUntilAnswered(owner, key);
      await Promise.all([owner, witness].map((daemon) => fleet.killAndRemove(daemon)));
      await fleet.platform.injectFault({ kind: 'up' });
      expect(await waitForFinalResult(other, key)).toBe(LOST_CLAIM);
      expect(await countRuns(key)).toBe(1);
    },
    TEST_TIMEOUT_MS,
  );
});
