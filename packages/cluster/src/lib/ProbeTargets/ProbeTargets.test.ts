import { getView, TestCluster } from '../../test/TestCluster.js';

describe('ProbeTargets', () => {
  it('has each daemon probed by as many others as there are rings', () => {
    const cluster = new TestCluster({ zones: { 'fi/a': 40 } });
    cluster.run(30_000);
    const requests = cluster.daemons.map(({ host }) => host.core.counters.requests);
    cluster.run(40_000);
    const probed = cluster.daemons.map(
      ({ host }, index) => host.core.counters.requests - requests[index]!,
    );
    // A probe each second by one of its four neighbours, and a comparison of views now and then.
    expect(Math.min(...probed)).toBeGreaterThan(10);
    expect(Math.max(...probed)).toBeLessThan(120);
    cluster.dispose();
  });

  it('finds the dead of a whole zone in one go', () => {
    // Symptom: it takes many times as long to notice the failure of a zone as that of a daemon.
    // Sequence: a third of the daemons of a region fail at once.
    // Cause: those that only dead ones probed are looked at after their probers are declared dead.
    const cluster = new TestCluster({ zones: { 'fi/a': 20, 'fi/b': 20, 'fi/c': 20 } });
    cluster.run(40_000);
    const gone = cluster.daemons.slice(0, 20);
    gone.forEach((daemon) => cluster.crash(daemon, true));
    const areGone = () =>
      cluster.daemons.every((daemon) => !gone.some(({ id }) => getView(daemon, id)));
    expect(cluster.runUntil(areGone, 16_000)).toBe(true);
    cluster.dispose();
  });
});
