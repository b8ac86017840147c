import { reservePorts } from '@apricotrill/standins';
import { SystemClock } from '@apricotrill/utils';
import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { createReplica } from '../../../test/fixtures.js';
import type { RelayReplica } from '../../config/RelayConfiguration.js';
import { ProbeResult } from '../../decide/messages.js';
import { PeerServer } from '../../peers/PeerServer/PeerServer.js';
import { throwFault } from '../../../test/throwFault.js';
import { isListening } from '../../upstream/isListening.js';
import { pathOptions } from '../pathOptions.js';
import { CheckResult } from '../ReplicaCheck/ReplicaCheck.js';
import { REACHABILITY_PATH, ReachabilityServer } from '../ReachabilityServer/ReachabilityServer.js';
import { PathProber } from './PathProber.js';

const HOST = '127.0.0.1';

async function check(address: string): Promise<CheckResult> {
  const accepts = await isListening(address, pathOptions.probeTimeout);
  const failure = accepts === false ? CheckResult.Refuses : CheckResult.Silent;
  return accepts === true ? CheckResult.Responds : failure;
}

describe('PathProber', () => {
  const disposals: (() => void | Promise<void>)[] = [];

  afterEach(async () => {
    await Promise.all(disposals.splice(0).map((dispose) => dispose()));
  });

  async function startListener(): Promise<string> {
    const server: Server = createServer((socket) => socket.destroy());
    await new Promise<void>((resolve) => {
      server.listen(0, HOST, resolve);
    });
    disposals.push(() => {
      server.close();
    });
    return `${HOST}:${(server.address() as AddressInfo).port}`;
  }

  async function getClosedAddress(): Promise<string> {
    const [port] = await reservePorts(1);
    return `${HOST}:${port}`;
  }

  /** Starts a peer that reaches the replicas at addresses of its own. @returns its address */
  async function startPeer(replicas: readonly RelayReplica[], isIsolated = false): Promise<string> {
    const [port] = await reservePorts(1);
    const server = new PeerServer(throwFault);
    const reachability = new ReachabilityServer({
      findReplica: (id) => replicas.find((replica) => replica.id === id),
      check: ({ address }) => check(address),
      isIsolated: () => isIsolated,
    });
    server.addHandler(REACHABILITY_PATH, reachability.handler);
    await server.listen(HOST, port!);
    disposals.push(() => server.dispose());
    return `${HOST}:${port}`;
  }

  async function probe(
    address: string,
    peers: readonly string[],
    ownCheck = () => check(address),
  ): Promise<ProbeResult> {
    const prober = new PathProber({
      clock: new SystemClock(),
      log: () => undefined,
      check: ownCheck,
      checkAnew: ownCheck,
      getPeers: (count) =>
        peers
          .map((peer, index) => ({ id: `d-${index}`, address: peer, availabilityZone: 'a' }))
          .slice(0, count),
    });
    disposals.push(() => prober.dispose());
    const { result } = await prober.probe(createReplica('i/1', { address }));
    return result;
  }

  it('asks nobody about a replica that accepts connections', async () => {
    expect(await probe(await startListener(), [await getClosedAddress()])).toBe(ProbeResult.Up);
  });

  it('blames the path if a peer reaches the replica', async () => {
    const up = createReplica('i/1', { address: await startListener() });
    const down = createReplica('i/1', { address: await getClosedAddress() });
    const peers = [await startPeer([down]), await startPeer([up])];
    expect(await probe(await getClosedAddress(), peers)).toBe(ProbeResult.PathLost);
  });

  it('blames the replica if it refuses the connections of peers as well', async () => {
    const address = await getClosedAddress();
    const peers = [await startPeer([createReplica('i/1', { address })])];
    expect(await probe(address, peers)).toBe(ProbeResult.Down);
  });

  it('blames a replica that refuses connections if there is no peer to ask', async () => {
    expect(await probe(await getClosedAddress(), [])).toBe(ProbeResult.Down);
  });

  // Guards against replicas that are blamed on the word of a peer behind the same partition.
  it('blames nobody if the peers do not answer, do not know the replica, or reach none', async () => {
    const address = await getClosedAddress();
    const isolated = await startPeer([createReplica('i/1', { address })], true);
    const peers = [await getClosedAddress(), await startPeer([]), isolated];
    expect(await probe(address, peers)).toBe(ProbeResult.Unknown);
  });

  // Guards against a replica that goes on between two checks and is taken for one that only others reach.
  it('does not blame the path if the replica goes on before peers are asked', async () => {
    const up = createReplica('i/1', { address: await startListener() });
    const results = [CheckResult.Silent, CheckResult.Responds];
    const ownCheck = () => Promise.resolve(results.shift()!);
    expect(await probe(up.address, [await startPeer([up])], ownCheck)).toBe(ProbeResult.Up);
  });
});
