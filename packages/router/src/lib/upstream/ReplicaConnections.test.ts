import type { Replica } from '@apricotrill/model';
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
});
