import { TestCluster } from '../../test/TestCluster.js';

const TELL_LEAVING = { kind: 'announce-replica-leaving', replica: 'engine-1' } as const;

function createCluster() {
  const cluster = new TestCluster({ zones: { 'fi/a': 5, 'se/b': 5 } });
  cluster.run(20_000);
  const isKnown = () =>
    cluster.daemons.every(({ leavingReplicas }) => leavingReplicas.includes('engine-1'));
  return { cluster, isKnown };
}

describe('ReplicaNotices', () => {
  it('notifies all daemons within seconds, once each, including one that joins later', () => {
    const { cluster, isKnown } = createCluster();
    cluster.daemons.forEach(({ host }) => host.core.handle(TELL_LEAVING));
    expect(cluster.runUntil(isKnown, 3000)).toBe(true);
    cluster.run(15_000);
    const late = cluster.add('fi/a');
    expect(cluster.runUntil(() => late.leavingReplicas.length > 0, 5000)).toBe(true);
    cluster.daemons.forEach(({ host }) => host.core.handle(TELL_LEAVING));
    cluster.run(5000);
    cluster.daemons.forEach(({ leavingReplicas }) => expect(leavingReplicas).toEqual(['engine-1']));
    cluster.dispose();
  });

  it('expires, and is not kept alive by being gossiped', () => {
    // Guards against a backend server that stayed getting no requests for good: a notice expires on
    // one daemon slightly before another, and if sending it restarted its lifetime, the daemon that
    // still has it would send it back to the one that evicted it.
    const { cluster } = createCluster();
    cluster.daemons[0]!.host.core.handle(TELL_LEAVING);
    cluster.run(120_000);
    const late = cluster.add('fi/a');
    cluster.run(30_000);
    expect(late.leavingReplicas).toEqual([]);
    cluster.daemons[1]!.host.core.handle(TELL_LEAVING);
    cluster.run(5000);
    const received = cluster.daemons[0]!.leavingReplicas;
    expect(received).toEqual(['engine-1', 'engine-1']);
    cluster.dispose();
  });

  it('subtracts the time that a notice waited in the queue', () => {
    // As above: a notice waits for nearly all of its lifetime because other rumours use the byte
    // budget, and must not be sent with the remaining time it had when it was queued.
    const { cluster } = createCluster();
    cluster.options.gossipBytesPerSecond = 0;
    cluster.options.syncInterval = 10_000_000;
    cluster.run(20_000);
    cluster.daemons[0]!.host.core.handle(TELL_LEAVING);
    cluster.run(50_000);
    cluster.options.gossipBytesPerSecond = 5000;
    cluster.run(15_000);
    const late = cluster.add('fi/a');
    cluster.run(5000);
    expect(late.leavingReplicas).toEqual([]);
    cluster.dispose();
  });
});
