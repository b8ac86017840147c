import { PART_PREFIX } from '@apricotrill/configuration';
import { getDecided, TestCluster } from '../../test/TestCluster.js';

const NINE = { 'fi/a': 3, 'fi/b': 3, 'fi/c': 3 };

function createCluster(settings: Partial<ConstructorParameters<typeof TestCluster>[0]> = {}) {
  const cluster = new TestCluster({ zones: NINE, ...settings });
  cluster.accept();
  cluster.run(20_000);
  const isEverywhere = () =>
    cluster.daemons.every(({ host }) => host.core.generation === cluster.generation);
  expect(isEverywhere()).toBe(true);
  return { cluster, isEverywhere };
}

function getSum({ daemons }: TestCluster, counter: 'partsFromStore' | 'partsFromPeers'): number {
  return daemons.reduce((sum, { host }) => sum + host.core.counters[counter], 0);
}

describe('ConfigurationSpread', () => {
  it('brings an accepted change in force everywhere, and each part from the store to watchers only', () => {
    const { cluster, isEverywhere } = createCluster({ zones: { 'fi/a': 12, 'fi/b': 12 } });
    const fromStore = getSum(cluster, 'partsFromStore');
    const fromPeers = getSum(cluster, 'partsFromPeers');
    cluster.accept();
    expect(cluster.runUntil(isEverywhere, 3000)).toBe(true);
    const WATCHERS = 4;
    expect(getSum(cluster, 'partsFromStore') - fromStore).toBeLessThanOrEqual(WATCHERS);
    expect(getSum(cluster, 'partsFromPeers') - fromPeers).toBe(24 - WATCHERS);
    cluster.dispose();
  });

  it('takes the highest generation of its peers when it starts while the store is down', () => {
    // Symptom: a daemon that starts in an outage of the store serves nothing, or an old state.
    // Sequence: the store goes down; a daemon is replaced.
    // Cause: the configuration is looked for at the store only.
    const { cluster } = createCluster();
    cluster.accept(400);
    cluster.run(5000);
    cluster.setPlatform({ isDown: true });
    const late = cluster.add('fi/a');
    late.platform.isDown = true;
    expect(late.host.core.generation).toBe(0);
    expect(cluster.runUntil(() => late.host.core.generation === 2, 10_000)).toBe(true);
    cluster.dispose();
  });

  it('reaches a daemon that the first word of a generation missed', () => {
    // Symptom: one daemon stays on an old generation.
    // Sequence: a daemon is out of reach while a generation spreads, and comes back.
    // Cause: a generation is told once, as it comes in force.
    const { cluster, isEverywhere } = createCluster({ options: { syncInterval: 10_000_000 } });
    const late = cluster.daemons.find(({ host }) => !host.core.isWatching)!;
    cluster.isolate(late);
    late.platform.isDown = true;
    cluster.accept();
    cluster.run(2000);
    cluster.heal();
    expect(cluster.runUntil(isEverywhere, 5000)).toBe(true);
    cluster.dispose();
  });

  it('reaches a daemon that is cut off from its peers and not from the store', () => {
    // Symptom: one daemon stays on an old generation for as long as it is cut off.
    // Sequence: a daemon that is no watcher loses its peers; a change is accepted.
    // Cause: only watchers read the store, and it hears of nothing from them.
    const { cluster, isEverywhere } = createCluster();
    const cutOff = cluster.daemons.find(({ host }) => !host.core.isWatching)!;
    cluster.isolate(cutOff);
    cluster.run(30_000);
    cluster.accept();
    expect(cluster.runUntil(isEverywhere, 6000)).toBe(true);
    cluster.dispose();
  });

  it('leaves alone what the store holds of a lower generation than is in force', () => {
    // Symptom: an old configuration is in force again.
    // Sequence: the platform brings back an old state of its objects.
    // Cause: the store is believed whatever it holds.
    const { cluster } = createCluster();
    cluster.accept();
    cluster.run(5000);
    cluster.generation = 0;
    cluster.accept();
    cluster.run(30_000);
    expect(cluster.daemons.map(({ host }) => host.core.generation)).toEqual(Array(9).fill(2));
    cluster.dispose();
  });

  it('waits for parts that nobody has, and takes them once they are there', () => {
    // Symptom: a daemon gives up on a generation for good.
    // Sequence: the manifest is read from the store while its parts are not there yet.
    // Cause: what could not be put together once isn't tried again.
    const { cluster, isEverywhere } = createCluster();
    const put = cluster.objects.put.bind(cluster.objects);
    const held: Parameters<typeof put>[] = [];
    cluster.objects.put = (...args) => {
      if (args[0].startsWith(PART_PREFIX)) {
        held.push(args);
        return { kind: 'accepted', version: 0 };
      }
      return put(...args);
    };
    cluster.accept();
    cluster.run(10_000);
    expect(cluster.daemons.map(({ host }) => host.core.generation)).toEqual(Array(9).fill(1));
    expect(
      cluster.daemons.some((daemon) => getDecided(daemon, 'configuration-refused').length),
    ).toBe(true);
    held.forEach((args) => put(...args));
    expect(cluster.runUntil(isEverywhere, 10_000)).toBe(true);
    cluster.dispose();
  });
});
