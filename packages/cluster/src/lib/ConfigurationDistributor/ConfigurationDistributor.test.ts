import { PART_PREFIX } from '@apricotrill/configuration';
import { getMembersOfEvents, TestCluster } from '../../test/TestCluster.js';

const NINE_DAEMONS = { 'fi/a': 3, 'fi/b': 3, 'fi/c': 3 };

function createCluster(settings: Partial<ConstructorParameters<typeof TestCluster>[0]> = {}) {
  const cluster = new TestCluster({ zones: NINE_DAEMONS, ...settings });
  cluster.acceptChange();
  cluster.run(20_000);
  const isActiveEverywhere = () =>
    cluster.daemons.every(({ host }) => host.core.generation === cluster.generation);
  expect(isActiveEverywhere()).toBe(true);
  return { cluster, isActiveEverywhere };
}

function getCounterSum(
  { daemons }: TestCluster,
  counter: 'partsFromStore' | 'partsFromPeers',
): number {
  return daemons.reduce((sum, { host }) => sum + host.core.counters[counter], 0);
}

describe('ConfigurationDistributor', () => {
  it('activates an accepted change everywhere, with each part read from the store by watchers only', () => {
    const { cluster, isActiveEverywhere } = createCluster({ zones: { 'fi/a': 12, 'fi/b': 12 } });
    const fromStore = getCounterSum(cluster, 'partsFromStore');
    const fromPeers = getCounterSum(cluster, 'partsFromPeers');
    cluster.acceptChange();
    expect(cluster.runUntil(isActiveEverywhere, 3000)).toBe(true);
    const WATCHERS = 4;
    expect(getCounterSum(cluster, 'partsFromStore') - fromStore).toBeLessThanOrEqual(WATCHERS);
    expect(getCounterSum(cluster, 'partsFromPeers') - fromPeers).toBe(24 - WATCHERS);
    cluster.dispose();
  });

  it('activates the highest generation of its peers if it starts while the store is down', () => {
    // Guards against a daemon that is replaced during a store outage and serves nothing, or an old
    // configuration, because it reads the configuration from the store only.
    const { cluster } = createCluster();
    cluster.acceptChange(400);
    cluster.run(5000);
    cluster.setPlatform({ isDown: true });
    const late = cluster.add('fi/a');
    late.platform.isDown = true;
    expect(late.host.core.generation).toBe(0);
    expect(cluster.runUntil(() => late.host.core.generation === 2, 10_000)).toBe(true);
    cluster.dispose();
  });

  it('reaches a daemon that missed the first announcement of a generation', () => {
    // Guards against a daemon that stays on an old generation, because it was unreachable while the
    // new one was distributed and a generation is announced only once, on its activation.
    const { cluster, isActiveEverywhere } = createCluster({
      options: { syncInterval: 10_000_000 },
    });
    const late = cluster.daemons.find(({ host }) => !host.core.isWatching)!;
    cluster.isolate(late);
    late.platform.isDown = true;
    cluster.acceptChange();
    cluster.run(2000);
    cluster.heal();
    expect(cluster.runUntil(isActiveEverywhere, 5000)).toBe(true);
    cluster.dispose();
  });

  it('reaches a daemon that is cut off from its peers but not from the store', () => {
    // Guards against a daemon that stays on an old generation while it is cut off: it is not a
    // watcher, so it does not read the store, and it gets no updates from the watchers.
    const { cluster, isActiveEverywhere } = createCluster();
    const cutOff = cluster.daemons.find(({ host }) => !host.core.isWatching)!;
    cluster.isolate(cutOff);
    cluster.run(30_000);
    cluster.acceptChange();
    expect(cluster.runUntil(isActiveEverywhere, 6000)).toBe(true);
    cluster.dispose();
  });

  it('ignores a manifest in the store with a lower generation than the active one', () => {
    // Guards against an old configuration that becomes active again after the platform has restored
    // an old state of its objects.
    const { cluster } = createCluster();
    cluster.acceptChange();
    cluster.run(5000);
    cluster.generation = 0;
    cluster.acceptChange();
    cluster.run(30_000);
    expect(cluster.daemons.map(({ host }) => host.core.generation)).toEqual(Array(9).fill(2));
    cluster.dispose();
  });

  it('waits for parts that are not available yet, and activates the generation once they are', () => {
    // Guards against a daemon that abandons a generation for good, because it read the manifest
    // before its parts were in the store and does not try again.
    const { cluster, isActiveEverywhere } = createCluster();
    const put = cluster.objects.put.bind(cluster.objects);
    const heldBack: Parameters<typeof put>[] = [];
    cluster.objects.put = (...args) => {
      if (args[0].startsWith(PART_PREFIX)) {
        heldBack.push(args);
        return { kind: 'accepted', version: 0 };
      }
      return put(...args);
    };
    cluster.acceptChange();
    cluster.run(10_000);
    expect(cluster.daemons.map(({ host }) => host.core.generation)).toEqual(Array(9).fill(1));
    expect(
      cluster.daemons.some((daemon) => getMembersOfEvents(daemon, 'configuration-refused').length),
    ).toBe(true);
    heldBack.forEach((args) => put(...args));
    expect(cluster.runUntil(isActiveEverywhere, 10_000)).toBe(true);
    cluster.dispose();
  });
});
