import { getView, TestCluster } from '../../test/TestCluster.js';

describe('AntiEntropy', () => {
  it('finds the others again when everybody known here was replaced meanwhile', () => {
    // Symptom: a daemon goes on alone, for good, on the configuration it has.
    // Sequence: it is cut off; all others are replaced, at other addresses; the cut heals.
    // Cause: it tries those only whom it knows, and the others take it for dead.
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
    const isFound = () =>
      others.every((daemon) => getView(daemon, alone.id) && getView(alone, daemon.id));
    expect(cluster.runUntil(isFound, 120_000)).toBe(true);
    cluster.dispose();
  });

  it('joins two parts that know nothing of each other', () => {
    // Symptom: two clusters go on side by side, for good, on one configuration store.
    // Sequence: three of nine daemons are cut off and taken for dead; their processes are replaced,
    // and the new ones know only each other; the cut heals.
    // Cause: nobody talks to an address where somebody was dead, or that is only in the settings.
    const cluster = new TestCluster({ zones: { 'fi/a': 6, 'fi/b': 3 }, listLag: 100_000_000 });
    cluster.run(20_000);
    const cut = cluster.daemons.slice(6);
    const ids = cut.map(({ id }) => id);
    cluster.faults.canPass = (from, to) => ids.includes(from) === ids.includes(to);
    cluster.run(30_000);
    cut.forEach((daemon) => cluster.crash(daemon));
    const renewed = cut.map((daemon) => cluster.restart(daemon));
    renewed.forEach((daemon) => {
      const rumours = renewed.map(({ host }) => {
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
    const isWhole = () => cluster.daemons.every(({ host }) => host.core.memberCount === 9);
    expect(cluster.runUntil(isWhole, 120_000)).toBe(true);
    cluster.dispose();
  });

  it('mends what rumours missed', () => {
    // Symptom: two daemons hold different views for good.
    // Sequence: a daemon joins and leaves while every rumour is lost.
    // Cause: news is told a bounded number of times.
    const cluster = new TestCluster({
      zones: { 'fi/a': 6 },
      options: { gossipBytesPerSecond: 0 },
    });
    const isWhole = () => cluster.daemons.every(({ host }) => host.core.getMembers().length === 6);
    expect(cluster.runUntil(isWhole, 120_000)).toBe(true);
    cluster.dispose();
  });

  it('brings a new daemon a view of many pages at once', () => {
    const cluster = new TestCluster({ zones: { 'fi/a': 60 }, options: { syncPageBytes: 500 } });
    cluster.run(30_000);
    const late = cluster.add('fi/a');
    expect(cluster.runUntil(() => late.host.core.getMembers().length === 61, 2000)).toBe(true);
    cluster.dispose();
  });
});
