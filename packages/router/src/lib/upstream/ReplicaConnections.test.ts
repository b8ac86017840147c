import type { Replica } from '@apricotrill/model';
import { LinkFault, TcpProxy } from '@apricotrill/standins';
import { once } from 'node:events';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Dispatcher } from 'undici';
import { setTimeout as wait } from 'node:timers/promises';
import { ReplicaConnections } from './ReplicaConnections.js';

const REPLICA = { id: 'engine-1', host: '127.0.0.1', port: 1 } as Replica;

describe('ReplicaConnections', () => {
  // Guards against replacing a healthy pool. When a network path is lost, several connections of one
  // pool go silent, and their timeouts are noticed one after another, when the pool has already been
  // replaced. If each of them replaced the current pool, every request would open a new connection.
  it('replaces a pool only once when several of its connections go silent', () => {
    const connections = new ReplicaConnections();
    const lost = connections.getShared(REPLICA);
    connections.replacePool(REPLICA, lost);
    const fresh = connections.getShared(REPLICA);
    expect(fresh === lost).toBe(false);
    connections.replacePool(REPLICA, lost);
    expect(connections.getShared(REPLICA) === fresh).toBe(true);
    connections.replacePool(REPLICA, connections.createDedicated(REPLICA));
    expect(connections.getShared(REPLICA) === fresh).toBe(false);
    return connections.dispose();
  });

  // Guards against a request that a replica runs long after it was given up, once a partition is over.
  it('takes a request back that is aborted during a partition', async () => {
    const received: string[] = [];
    const server = createServer({ keepAliveTimeout: 20_000 }, (request, response) => {
      received.push(request.url ?? '');
      response.end();
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const proxy = new TcpProxy((server.address() as AddressInfo).port);
    const replica = { ...REPLICA, port: await proxy.listen() };
    const connections = new ReplicaConnections();
    const send = async (dispatcher: Dispatcher, path: string, signal?: AbortSignal) => {
      const { body } = await dispatcher.request({
        origin: `http://127.0.0.1:${replica.port}`,
        method: 'POST',
        path,
        signal,
      });
      await body.text();
    };
    const shared = connections.getShared(replica);
    await send(shared, '/before');
    await wait(50);
    proxy.setFault(LinkFault.Partitioned);
    const controller = new AbortController();
    const aborted = send(shared, '/during', controller.signal);
    await proxy.waitForKeptData();
    controller.abort();
    await expect(aborted).rejects.toThrow(/abort/);
    await proxy.waitForClosedConnections(1);
    proxy.setFault(LinkFault.None);
    const dedicated = connections.createDedicated(replica);
    await send(dedicated, '/after');
    await dedicated.destroy();
    await connections.dispose();
    proxy.dispose();
    server.close();
    expect(received).toEqual(['/before', '/after']);
  });
});
