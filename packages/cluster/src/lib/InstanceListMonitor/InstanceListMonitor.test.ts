import { InstanceRole, InstanceState } from '@apricotrill/store';
import { getDecided, TestCluster } from '../../test/TestCluster.js';

function createCluster(listLag = 0) {
  const cluster = new TestCluster({
    zones: { 'fi/a': 3, 'fi/b': 3 },
    listLag,
    options: { listInterval: 300, suspicionSpan: 20_000 },
  });
  cluster.run(10_000);
  cluster.daemons.forEach(({ decisions }) => decisions.splice(0));
  return cluster;
}

function getDeaths({ daemons }: TestCluster): string[] {
  return [...new Set(daemons.flatMap((daemon) => getDecided(daemon, 'member-dead')))];
}

describe('ListJudge', () => {
  it('declares dead at once who neither answers nor is listed', () => {
    const cluster = createCluster();
    const [gone] = cluster.daemons;
    cluster.crash(gone!);
    const isGone = () => getDeaths(cluster).includes(gone!.id);
    expect(cluster.runUntil(isGone, 10_000)).toBe(true);
    cluster.dispose();
  });

  it('does not believe the list against a member that answers', () => {
    // Symptom: a healthy daemon is taken for dead, again and again.
    // Sequence: the platform's list loses an entry.
    // Cause: the list is believed against own experience.
    const cluster = createCluster();
    cluster.directory.remove(cluster.daemons[3]!.id);
    cluster.run(60_000);
    expect(getDeaths(cluster)).toEqual([]);
    cluster.dispose();
  });

  it('does not believe one reading that lacks a member', () => {
    // Symptom: a daemon that stops for a moment is declared dead before it can refute.
    // Sequence: it stops and is suspected; the platform's list lacks it for a moment.
    // Cause: a single reading is believed.
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

  it('does not believe a list that lacks the reader itself', () => {
    // Symptom: a daemon that stops for a moment is declared dead before it can refute.
    // Sequence: the platform answers with an empty list; a daemon stops for a few seconds.
    // Cause: an empty list is taken for one on which everybody is gone.
    const cluster = createCluster();
    cluster.daemons.forEach(({ id }) => cluster.directory.remove(id));
    const [paused] = cluster.daemons;
    paused!.clock.freeze();
    cluster.run(10_000);
    paused!.clock.thaw();
    cluster.run(10_000);
    expect(getDeaths(cluster)).toEqual([]);
    expect(cluster.daemons.some((daemon) => getDecided(daemon, 'list-distrusted').length)).toBe(
      true,
    );
    cluster.dispose();
  });

  it('passes on that a backend server is listed as leaving', () => {
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
