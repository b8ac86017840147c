import { TestCluster } from '../../test/TestCluster.js';

describe('LoadDigests', () => {
  it('reports the load of each zone to all daemons, and drops that of a dead daemon', () => {
    const cluster = new TestCluster({ zones: { 'fi/a': 4, 'se/b': 5 } });
    cluster.run(10_000);
    const publish = () =>
      cluster.daemons.forEach(({ host }) => {
        const services = [{ service: 'kielimalli', running: 3, waiting: 1, refused: 0 }];
        host.core.handle({ kind: 'publish-load', services });
      });
    publish();
    cluster.run(20_000);
    const getSums = (index: number) =>
      Object.fromEntries(
        cluster.daemons[index]!.host.core.getZoneLoads().map(({ availabilityZone, services }) => [
          availabilityZone,
          services[0]!.running,
        ]),
      );
    cluster.daemons.forEach((_, index) => expect(getSums(index)).toEqual({ a: 12, b: 15 }));
    cluster.crash(cluster.daemons[8]!);
    cluster.run(60_000);
    expect(getSums(0)).toEqual({ a: 12, b: 12 });
    cluster.dispose();
  });
});
