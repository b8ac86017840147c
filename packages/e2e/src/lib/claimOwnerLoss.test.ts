import type { Backend } from '../test/Backend.js';
import { Fleet } from '../test/Fleet.js';
import { FleetCaller, LOST_CLAIM, describeResult, isFinal } from '../test/FleetCaller.js';
import type { FleetDaemon } from '../test/FleetDaemon.js';
import { pollUntil } from '../test/pollUntil.js';
import { createKey, startShards } from '../test/shards.js';
import type { OwnedShard } from '../test/shards.js';

/** A daemon is declared dead some seconds after its end, and its shards are taken after that. */
const TEST_TIMEOUT_MS = 120_000;

const RUNNING = 'idempotency-key-in-progress unknown';

describe('a request that may not be repeated, when daemons are lost', () => {
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

  /** The owner of a shard, and two daemons beside it that are neither its owner nor its witness. */
  function getRoles() {
    const [shard, { owner, witness }] = [...shards][0]!;
    const rest = fleet.daemons.filter((daemon) => daemon !== owner && daemon.id !== witness);
    const [entry, other] = rest as [FleetDaemon, FleetDaemon];
    const second = fleet.daemons.find(({ id }) => id === witness)!;
    return { shard, owner, entry, other, second };
  }

  async function countRuns(key: string): Promise<number> {
    const runs = await portal.getRuns();
    return runs.filter(({ idempotencyKey }) => idempotencyKey === key).length;
  }

  /** Places a hold that takes long, and resolves once it runs. */
  async function startHold(entry: FleetDaemon, key: string) {
    await portal.injectFault({ kind: 'slow', factor: 200 });
    const answer = caller.placeHold(entry, key);
    await portal.waitForRuns((runs) => runs.some(({ idempotencyKey }) => idempotencyKey === key));
    await portal.injectFault({ kind: 'slow', factor: 1 });
    return { answer };
  }

  /** Asks in turn until it is said for good what became of the key. */
  async function askForFate(entry: FleetDaemon, key: string): Promise<string> {
    return describeResult(await pollUntil(() => caller.placeHold(entry, key), isFinal));
  }

  // Symptom: a hold is placed twice. Sequence: its entry daemon is killed after it sent the hold on;
  // the caller, cut off, asks another daemon. Cause: the claim dies with the daemon that held it.
  it(
    'is never run again when its entry daemon was killed after dispatch',
    async () => {
      const { shard, entry, other } = getRoles();
      const key = createKey(shard);
      const { answer } = await startHold(entry, key);
      await fleet.killAndRemove(entry);
      expect(describeResult(await answer)).toBe('cut');
      expect([RUNNING, LOST_CLAIM]).toContain(describeResult(await caller.placeHold(other, key)));
      expect(await askForFate(other, key)).toBe(LOST_CLAIM);
      expect(await countRuns(key)).toBe(1);
    },
    TEST_TIMEOUT_MS,
  );

  // Symptom: a hold that was answered runs again, or its answer is lost. Sequence: the owner of its
  // shard is killed, once after the answer and once while it runs. Cause: the next owner starts with
  // what the store has, though the last one granted or heard more.
  it(
    'keeps its answer when the owner of its shard was killed',
    async () => {
      const { shard, owner, entry, other } = getRoles();
      const [done, running, later] = [createKey(shard), createKey(shard), createKey(shard)];
      await caller.placeHoldUntilAnswered(entry, done);
      const { answer } = await startHold(entry, running);
      await fleet.killAndRemove(owner);
      expect(describeResult(await answer)).toBe('answered');
      expect(await askForFate(other, done)).toBe('answered');
      expect(await askForFate(other, running)).toBe('answered');
      await caller.placeHoldUntilAnswered(other, later);
      expect(await Promise.all([done, running, later].map(countRuns))).toEqual([1, 1, 1]);
    },
    TEST_TIMEOUT_MS,
  );

  // Symptom: two daemons grant the same key. Sequence: the owner is frozen, another one takes its
  // shard and grants; the frozen one wakes with a caller's request for the same key before it. Cause:
  // it still believes that it owns the shard and looks in its own memory only.
  it(
    'is not granted by an owner that was frozen and wakes',
    async () => {
      const { shard, owner, entry, other } = getRoles();
      const [key, next] = [createKey(shard), createKey(shard)];
      owner.freeze();
      const asleep = caller.placeHold(owner, key);
      await caller.placeHoldUntilAnswered(entry, key);
      owner.resume();
      await asleep;
      await caller.placeHoldUntilAnswered(owner, key);
      await Promise.all([entry, owner, other].map((daemon) => caller.placeHold(daemon, next)));
      await caller.placeHoldUntilAnswered(owner, next);
      expect(await Promise.all([key, next].map(countRuns))).toEqual([1, 1]);
    },
    TEST_TIMEOUT_MS,
  );

  // Symptom: a hold granted during an outage runs again after it. Sequence: the store is down, the
  // owner grants on its witness's word and is killed; the store comes back. Cause: the next owner
  // takes what the store remembers for all there was.
  it(
    'is never run again when the owner was killed in an outage of the store',
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
      expect(await askForFate(other, done)).toBe('answered');
      expect(await askForFate(other, running)).toBe('answered');
      expect(await Promise.all([done, running].map(countRuns))).toEqual([1, 1]);
    },
    TEST_TIMEOUT_MS,
  );

  // Symptom: as above. Sequence: as above, and the witness is killed too, so that nobody is left who
  // knows of the grant. Cause: a key that nobody remembers is taken for a new one.
  it(
    'is refused as unknown when nobody is left who would know',
    async () => {
      const { shard, owner, second, other } = getRoles();
      const key = createKey(shard);
      await fleet.platform.injectFault({ kind: 'down' });
      await caller.placeHoldUntilAnswered(owner, key);
      await Promise.all([owner, second].map((daemon) => fleet.killAndRemove(daemon)));
      await fleet.platform.injectFault({ kind: 'up' });
      expect(await askForFate(other, key)).toBe(LOST_CLAIM);
      expect(await countRuns(key)).toBe(1);
    },
    TEST_TIMEOUT_MS,
  );
});
