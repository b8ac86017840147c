import { InstanceRole, InstanceState } from '@apricotrill/store';
import { getMembersOfEvents, TestCluster } from '../../test/TestCluster.js';

function createCluster(listLag = 0) {
  const cluster = new TestCluster({
    zones: { 'fi/a': 3, 'fi/b': 3 },
    listLag,
    options: { minListInterval: 300, suspicionTimeout: 20_000 },
  });
  cluster.run(10_000);
  cluster.daemons.forEach(({ events }) => events.splice(0));
  return cluster;
}

function getDeaths({ daemons }: TestCluster): string[] {
  return [...new Set(daemons.flatMap((daemon) => getMembersOfEvents(daemon, 'member-dead')))];
}

describe('InstanceListMonitor', () => {
  it('immediately declares a daemon dead that neither responds nor is listed', () => {
    const cluster = createCluster();
    const [gone] = cluster.daemons;
    cluster.crash(gone!);
    const isGone = () => getDeaths(cluster).includes(gone!.id);
    expect(cluster.runUntil(isGone, 10_000)).toBe(true);
    cluster.dispose();
  });

  it('does not trust the list about a member that responds', () => {
    // Guards against a healthy daemon that is declared dead again and again, because the platform's
    // list has lost its entry and is trusted over the results of probes.
    const cluster = createCluster();
    cluster.directory.remove(cluster.daemons[3]!.id);
    cluster.run(60_000);
    expect(getDeaths(cluster)).toEqual([]);
    cluster.dispose();
  });

  it('does not trust a single read that lacks a member', () => {
    // Guards against a paused daemon that is declared dead before it can refute, because the
    // platform's list briefly lacked it while it was suspected.
    const cluster = createCluster();
    const paused = cluster.daemons[2]!;
    paused.clock.freeze();
    cluster.run(5000);
    const instance = cluster.directory.getInstances().find(({ id }) => id === paused.id)!;
    cluster.directory.remove(paused.id);
    cluster.run(200);
    cluster.directory.set(instance);
    cluster.run(2000);
    paused.clock.thaw();
    cluster.run(10_000);
    expect(getDeaths(cluster)).toEqual([]);
    cluster.dispose();
  });

  it('does not trust a list that lacks the reader itself', () => {
    // Guards against a paused daemon that is declared dead before it can refute, because the
    // platform returned an empty list.
    const cluster = createCluster();
    cluster.daemons.forEach(({ id }) => cluster.directory.remove(id));
    const [paused] = cluster.daemons;
    paused!.clock.freeze();
    cluster.run(10_000);
    paused!.clock.thaw();
    cluster.run(10_000);
    expect(getDeaths(cluster)).toEqual([]);
    expect(
      cluster.daemons.some((daemon) => getMembersOfEvents(daemon, 'list-distrusted').length),
    ).toBe(true);
    cluster.dispose();
  });

  it('announces a backend server that is listed as leaving', () => {
    const cluster = createCluster();
    cluster.directory.set({
      id: 'engine-1',
      role: InstanceRole.BackendServer,
      state: InstanceState.Leaving,
      availabilityZone: 'a',
      host: '127.0.0.1',
      port: 1,
    });
    const isKnown = () =>
      cluster.daemons.every(({ leavingReplicas }) => leavingReplicas.includes('engine-1'));
    expect(cluster.runUntil(isKnown, 5000)).toBe(true);
    cluster.dispose();
  });
});
