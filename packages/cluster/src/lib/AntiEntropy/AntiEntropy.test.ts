import { getView, TestCluster } from '../../test/TestCluster.js';

describe('AntiEntropy', () => {
  it('finds the other daemons again after all known ones were replaced', () => {
    // Guards against a daemon that stays alone for good: while it is partitioned, all others are
    // replaced at new addresses. It only contacts those it knows, and the others consider it dead.
    const cluster = new TestCluster({ zones: { 'fi/a': 3, 'fi/b': 3 } });
    cluster.run(20_000);
    const alone = cluster.daemons[5]!;
    cluster.isolate(alone);
    cluster.getOthers(alone).forEach((daemon) => {
      cluster.add(`fi/${daemon.host.self.availabilityZone}`);
      cluster.run(10_000);
      cluster.crash(daemon);
    });
    cluster.run(30_000);
    const others = cluster.getOthers(alone);
    expect(others.some((daemon) => getView(daemon, alone.id))).toBe(false);
    cluster.heal();
    const isRejoined = () =>
      others.every((daemon) => getView(daemon, alone.id) && getView(alone, daemon.id));
    expect(cluster.runUntil(isRejoined, 120_000)).toBe(true);
    cluster.dispose();
  });

  it('joins two clusters that know nothing of each other', () => {
    // Guards against two clusters that stay separate for good, on one configuration store: three of
    // nine daemons are partitioned, declared dead and replaced by processes that only know each
    // other. Nobody contacts an address of a dead member, or one that is only configured as a seed.
    const cluster = new TestCluster({ zones: { 'fi/a': 6, 'fi/b': 3 }, listLag: 100_000_000 });
    cluster.run(20_000);
    const partitioned = cluster.daemons.slice(6);
    const ids = partitioned.map(({ id }) => id);
    cluster.faults.canPass = (from, to) => ids.includes(from) === ids.includes(to);
    cluster.run(30_000);
    partitioned.forEach((daemon) => cluster.crash(daemon));
    const restarted = partitioned.map((daemon) => cluster.restart(daemon));
    restarted.forEach((daemon) => {
      const rumours = restarted.map(({ host }) => {
        const { stateSince, generation, ...member } = host.core.getMembers()[0]!;
        return { kind: 'member' as const, record: { ...member, refutation: 0 } };
      });
      daemon.host.receive('peer', { kind: 'gossip', generation: 0, rumours }, () => {});
    });
    cluster.run(60_000);
    expect(cluster.daemons.map(({ host }) => host.core.memberCount)).toEqual([
      ...Array<number>(6).fill(6),
      ...Array<number>(3).fill(3),
    ]);
    cluster.heal();
    const isComplete = () => cluster.daemons.every(({ host }) => host.core.memberCount === 9);
    expect(cluster.runUntil(isComplete, 120_000)).toBe(true);
    cluster.dispose();
  });

  it('repairs what rumours missed', () => {
    // Guards against daemons that hold different views for good, because a rumour is sent a limited
    // number of times and all of them are lost.
    const cluster = new TestCluster({
      zones: { 'fi/a': 6 },
      options: { gossipBytesPerSecond: 0 },
    });
    const isComplete = () =>
      cluster.daemons.every(({ host }) => host.core.getMembers().length === 6);
    expect(cluster.runUntil(isComplete, 120_000)).toBe(true);
    cluster.dispose();
  });

  it('gives a new daemon a view of many pages immediately', () => {
    const cluster = new TestCluster({ zones: { 'fi/a': 60 }, options: { maxSyncPageBytes: 500 } });
    cluster.run(30_000);
    const late = cluster.add('fi/a');
    expect(cluster.runUntil(() => late.host.core.getMembers().length === 61, 2000)).toBe(true);
    cluster.dispose();
  });
});
