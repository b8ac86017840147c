import { TestCluster } from '../../test/TestCluster.js';

const NEVER = 100_000_000;

function createCluster(options: Parameters<typeof Object.assign>[0] = {}) {
  const cluster = new TestCluster({ zones: { 'fi/a': 4, 'fi/b': 4 }, options });
  cluster.acceptChange();
  cluster.run(20_000);
  const isActiveEverywhere = () =>
    cluster.daemons.every(({ host }) => host.core.generation === cluster.generation);
  return { cluster, isActiveEverywhere };
}

function getWatchers({ daemons }: TestCluster, zone: string) {
  return daemons.filter(({ host }) => host.self.availabilityZone === zone && host.core.isWatching);
}

describe('StoreWatcher', () => {
  it('detects a change even if every watch is silent', () => {
    // Guards against an accepted change that becomes active nowhere, because the platform accepts
    // watches but never responds to them, which is indistinguishable from a watch without changes.
    const { cluster, isActiveEverywhere } = createCluster();
    cluster.setPlatform({ hasSilentWatches: true });
    cluster.acceptChange();
    expect(cluster.runUntil(isActiveEverywhere, 5000)).toBe(true);
    cluster.dispose();
  });

  it('replaces a watch that was silent for longer than the platform keeps a watch open', () => {
    // Guards against changes that are only detected by polling, seconds late: the connections of
    // watches have gone silent, new ones would work, but the old watches are never given up.
    const { cluster, isActiveEverywhere } = createCluster({ pollInterval: NEVER });
    cluster.setPlatform({ hasSilentWatches: true });
    cluster.run(60_000);
    cluster.setPlatform({ hasSilentWatches: false });
    cluster.acceptChange();
    expect(cluster.runUntil(isActiveEverywhere, 35_000)).toBe(true);
    cluster.dispose();
  });

  it('watches again after an outage of the store', () => {
    // Guards against changes that are only detected by polling after a store outage of a minute,
    // because failed watches are not restarted.
    const { cluster, isActiveEverywhere } = createCluster({
      pollInterval: NEVER,
      watchRenewalInterval: NEVER,
    });
    cluster.setPlatform({ isDown: true });
    cluster.run(60_000);
    const watches = cluster.daemons.map(({ host }) => host.core.counters.watches);
    expect(Math.max(...watches)).toBeLessThan(40);
    cluster.setPlatform({ isDown: false });
    cluster.acceptChange();
    expect(cluster.runUntil(isActiveEverywhere, 7000)).toBe(true);
    cluster.dispose();
  });

  it('has two watchers in each zone, and replaces them as soon as they are suspected', () => {
    // Guards against a zone that has no watcher until both of its watchers, which have stopped, are
    // declared dead, because a suspected daemon keeps its duties.
    const { cluster } = createCluster();
    const before = getWatchers(cluster, 'a');
    expect([before.length, getWatchers(cluster, 'b').length]).toEqual([2, 2]);
    before.forEach(({ clock }) => clock.freeze());
    const hasReplacement = () =>
      getWatchers(cluster, 'a').some((daemon) => !before.includes(daemon));
    expect(cluster.runUntil(hasReplacement, 10_000)).toBe(true);
    const deaths = cluster.daemons.flatMap(({ events }) =>
      events.filter(({ kind }) => kind === 'member-dead'),
    );
    expect(deaths).toEqual([]);
    cluster.dispose();
  });

  it('does not let every daemon read the store when all start at once', () => {
    // Guards against a restart of all daemons that floods the store: each knows no peers at first,
    // and would become a watcher if it took on duties before it has looked for peers.
    const cluster = new TestCluster({ zones: { 'fi/a': 20 } });
    cluster.acceptChange();
    cluster.run(1500);
    const readers = cluster.daemons.filter(({ host }) => host.core.counters.manifestReads > 0);
    expect(readers.length).toBeLessThan(cluster.daemons.length / 2);
    cluster.dispose();
  });
});
