import { ConfigurationStore, EMPTY_CONFIGURATION } from '@apricotrill/configuration';
import { Mesh } from '@apricotrill/mesh';
import {
  InstanceDirectory,
  MemoryInstanceList,
  MemoryPlatformStore,
  ObjectStore,
} from '@apricotrill/store';
import { createRandom, SystemClock } from '@apricotrill/utils';
import { MemberState } from '../Member.js';
import { ClusterManager } from './ClusterManager.js';

const clock = new SystemClock();

const disposables: { dispose(): void }[] = [];

afterEach(() => disposables.splice(0).forEach((disposable) => disposable.dispose()));

/** Creates daemons that communicate over sockets and share a platform in memory. */
async function createDaemons(size: number) {
  const objects = new ObjectStore(clock);
  const instanceList = new MemoryInstanceList(new InstanceDirectory(clock));
  const seeds: { host: string; port: number }[] = [];
  const create = async (id: string) => {
    const mesh = new Mesh({ self: id, host: '127.0.0.1', port: 0, clock });
    const meshPort = await mesh.listen();
    const address = { host: '127.0.0.1', port: 1, meshPort, adminPort: 2 };
    const store = new MemoryPlatformStore({ clock, objects });
    const cluster = new ClusterManager({
      self: { id, region: 'fi', availabilityZone: 'a', ...address },
      clock,
      random: createRandom(meshPort),
      mesh,
      store,
      instanceList,
      seeds: [...seeds],
      options: { probeInterval: 50, joinGracePeriod: 100 },
    });
    seeds.push({ host: '127.0.0.1', port: meshPort });
    disposables.push(cluster, mesh);
    return { id, mesh, cluster, store };
  };
  const daemons = [];
  for (let index = 0; index < size; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- each has the earlier ones as seeds
    daemons.push(await create(`daemon-${index}`));
  }
  const configuration = new ConfigurationStore({
    clock,
    store: new MemoryPlatformStore({ clock, objects }),
  });
  return { daemons, configuration };
}

type Daemon = Awaited<ReturnType<typeof createDaemons>>['daemons'][number];

function waitForMembers({ cluster }: Daemon, condition: () => boolean): Promise<void> {
  return new Promise((resolve) => {
    cluster.onMembersChange(() => condition() && resolve());
    if (condition()) {
      resolve();
    }
  });
}

describe('ClusterManager', () => {
  it('joins daemons over sockets, and distributes a configuration accepted by the store', async () => {
    const { daemons, configuration } = await createDaemons(3);
    const joined = daemons.map((daemon) =>
      waitForMembers(daemon, () => daemon.cluster.getMembers().length === 3),
    );
    const activations = daemons.map(
      ({ cluster }) =>
        new Promise<number>((resolve) => {
          cluster.onConfigurationChange(({ manifest }) => resolve(manifest.generation));
        }),
    );
    daemons.forEach(({ cluster }) => cluster.start());
    await Promise.all(joined);
    const change = { changeId: 'first', author: 'operator', baseGeneration: 0 };
    await configuration.apply({ ...change, configuration: EMPTY_CONFIGURATION });
    expect(await Promise.all(activations)).toEqual([1, 1, 1]);
    expect(daemons.map(({ cluster }) => cluster.getGeneration())).toEqual([1, 1, 1]);
    const [first] = daemons;
    expect(first!.mesh.traffic.getTopic('membership').bytesOut).toBeGreaterThan(0);
  });

  it('announces to peers that a daemon and a backend server are leaving', async () => {
    const { daemons } = await createDaemons(2);
    const [leaving, other] = daemons;
    const isLeavingSeen = () => other!.cluster.getMembers()[1]?.state === MemberState.Leaving;
    const leavingSeen = waitForMembers(other!, isLeavingSeen);
    const leavingReplica = new Promise<string>((resolve) => {
      other!.cluster.onReplicaLeaving(resolve);
    });
    daemons.forEach(({ cluster }) => cluster.start());
    leaving!.cluster.announceLeaving();
    leaving!.cluster.announceReplicaLeaving('engine-1');
    await leavingSeen;
    expect(await leavingReplica).toBe('engine-1');
    expect(leaving!.cluster.getLocalMember().isEligible).toBe(false);
  });

  it('rejects a malformed request, and keeps working', async () => {
    const { daemons } = await createDaemons(2);
    const [first, second] = daemons;
    daemons.forEach(({ cluster }) => cluster.start());
    const { address } = second!.cluster.getLocalMember();
    await expect(first!.mesh.call(address, 'membership', ['ping'])).rejects.toThrow(
      'cluster-request',
    );
    await waitForMembers(first!, () => first!.cluster.getMembers().length === 2);
  });

  it('ends its watch at the store on dispose', async () => {
    const { daemons } = await createDaemons(1);
    const [{ cluster, store }] = daemons as [Daemon];
    cluster.start();
    const watched = new Promise<void>((resolve) => {
      const watch = store.watch.bind(store);
      store.watch = (...args) => {
        resolve();
        return watch(...args);
      };
    });
    await watched;
    cluster.dispose();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    expect(store.getCounters().waitingWatches).toBe(0);
  });
});
