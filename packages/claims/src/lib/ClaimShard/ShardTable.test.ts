import { TEST_OPTIONS, TestCluster } from '../../test/TestCluster.js';
import type { ShardHead } from '../ShardHead.js';

const BODY = 'x'.repeat(400);

const OPTIONS = {
  ...TEST_OPTIONS,
  segmentThreshold: 2000,
  maxSegmentSize: 3000,
  maxHeadSize: 8000,
};

async function settleMany(cluster: TestCluster, count: number): Promise<void> {
  const daemon = cluster.daemons[0]!;
  for (let index = 0; index < count; index += 1) {
    // eslint-disable-next-line no-await-in-loop
    const result = await cluster.ask(daemon, `key-${index}`);
    if (result.kind === 'granted') {
      const whole = { kind: 'whole' as const, status: 200, headers: {}, body: `${index}${BODY}` };
      daemon.claims.recordOutcome(result.handle, { kind: 'answered', answer: whole });
    }
  }
}

function readHead(cluster: TestCluster): ShardHead {
  return JSON.parse(cluster.store.read('claims/0')!.value) as ShardHead;
}

describe('a shard with many keys', () => {
  it('moves settled keys into segments, which the next owner reads and which expire', async () => {
    const cluster = new TestCluster(4, OPTIONS);
    await cluster.run(1000);
    await settleMany(cluster, 20);
    await cluster.run(1000);
    const { segments, entries } = readHead(cluster);
    const [list] = segments;
    expect(list!.numbers.length).toBeGreaterThan(1);
    expect(entries.length).toBeLessThan(10);
    const left = cluster.store.connect('test', () => Promise.resolve());
    await left.put('claim-segments/0/left.1/7', '[]', 0);
    const [owner, , next] = cluster.getOrder();
    owner!.crash();
    cluster.updateAllMembers();
    for (const key of [0, 10, 19]) {
      // eslint-disable-next-line no-await-in-loop
      const repeat = await cluster.ask(next!, `key-${key}`);
      expect(repeat).toMatchObject({ kind: 'settled', answer: { body: `${key}${BODY}` } });
    }
    await cluster.run(2 * TEST_OPTIONS.retention!);
    await cluster.ask(next!, 'later');
    await cluster.ask(next!, 'latest');
    expect(readHead(cluster).segments).toEqual([]);
    expect(cluster.store.list('claim-segments/0/')).toEqual([]);
  });

  // Settled keys cannot be moved into segments while the store is down. Without a limit the head
  // grew until the store refused it for good, even after the outage.
  it('is bounded during an outage: bodies are dropped first, then new keys are refused', async () => {
    const cluster = new TestCluster(4, OPTIONS);
    await cluster.run(1000);
    cluster.store.setFault('down');
    await settleMany(cluster, 60);
    expect(await cluster.ask(cluster.daemons[1]!, 'more')).toMatchObject({
      kind: 'unavailable',
      reason: 'overload',
    });
    cluster.store.setFault('up');
    await cluster.run(1000);
    expect(cluster.store.read('claims/0')!.value.length).toBeLessThan(1.5 * OPTIONS.maxHeadSize);
    const repeat = await cluster.ask(cluster.daemons[1]!, 'key-20');
    expect(repeat).toMatchObject({ kind: 'settled', answer: { kind: 'status-only' } });
  });

  // Expired keys were removed only by commits. A full shard that granted nothing had nothing to
  // commit, so it refused every new key for good.
  it('accepts new keys again when its keys have expired', async () => {
    const cluster = new TestCluster(4, { ...OPTIONS, maxEntries: 10 });
    await cluster.run(1000);
    await settleMany(cluster, 10);
    await cluster.run(1000);
    const daemon = cluster.daemons[1]!;
    expect(await cluster.ask(daemon, 'more')).toMatchObject({ reason: 'overload' });
    await cluster.run(TEST_OPTIONS.retention!);
    expect((await cluster.ask(daemon, 'more')).kind).toBe('granted');
  });

  // After an upgrade, old and new daemons divided the keys into different numbers of shards. A key
  // then had two owners that did not know of each other, and its request ran twice.
  it('is not served by daemons configured with another number of shards', async () => {
    const cluster = new TestCluster(2);
    await cluster.run(1000);
    const upgraded = new TestCluster(2, { ...TEST_OPTIONS, shards: 2 }, undefined, cluster.store);
    await upgraded.run(1000);
    const result = await upgraded.ask(upgraded.daemons[0]!, 'hold');
    expect(result).toMatchObject({ kind: 'unavailable', reason: 'layout-mismatch' });
    expect(upgraded.daemons.flatMap(({ claims }) => claims.getOwnedShards())).toEqual([]);
  });
});
