import { TestCluster } from '../../test/TestCluster.js';

const TELL = { kind: 'tell-replica-leaving', replica: 'engine-1' } as const;

function createCluster() {
  const cluster = new TestCluster({ zones: { 'fi/a': 5, 'se/b': 5 } });
  cluster.run(20_000);
  const isKnown = () =>
    cluster.daemons.every(({ leavingReplicas }) => leavingReplicas.includes('engine-1'));
  return { cluster, isKnown };
}

describe('ReplicaNotices', () => {
  it('tells everybody within seconds, once, and who joins later too', () => {
    const { cluster, isKnown } = createCluster();
    cluster.daemons.forEach(({ host }) => host.core.handle(TELL));
    expect(cluster.runUntil(isKnown, 3000)).toBe(true);
    cluster.run(15_000);
    const late = cluster.add('fi/a');
    expect(cluster.runUntil(() => late.leavingReplicas.length > 0, 5000)).toBe(true);
    cluster.daemons.forEach(({ host }) => host.core.handle(TELL));
    cluster.run(5000);
    cluster.daemons.forEach(({ leavingReplicas }) => expect(leavingReplicas).toEqual(['engine-1']));
    cluster.dispose();
  });

  it('ends by itself, and doesn’t live on by being told around', () => {
    // Symptom: a backend server that stayed gets no work, for good.
    // Sequence: a word is told; its span ends here and, a little later, there; who still has it
    // tells who has forgotten it.
    // Cause: each telling starts the span anew.
    const { cluster } = createCluster();
    cluster.daemons[0]!.host.core.handle(TELL);
    cluster.run(120_000);
    const late = cluster.add('fi/a');
    cluster.run(30_000);
    expect(late.leavingReplicas).toEqual([]);
    cluster.daemons[1]!.host.core.handle(TELL);
    cluster.run(5000);
    const heard = cluster.daemons[0]!.leavingReplicas;
    expect(heard).toEqual(['engine-1', 'engine-1']);
    cluster.dispose();
  });

  it('counts the time that a word waited to be told', () => {
    // Symptom: as above.
    // Sequence: a word waits for nearly all of its span, since more urgent news takes the bytes.
    // Cause: it is told with the span it had when it was queued.
    const { cluster } = createCluster();
    cluster.options.gossipBytesPerSecond = 0;
    cluster.options.syncInterval = 10_000_000;
    cluster.run(20_000);
    cluster.daemons[0]!.host.core.handle(TELL);
    cluster.run(50_000);
    cluster.options.gossipBytesPerSecond = 5000;
    cluster.run(15_000);
    const late = cluster.add('fi/a');
    cluster.run(5000);
    expect(late.leavingReplicas).toEqual([]);
    cluster.dispose();
  });
});
