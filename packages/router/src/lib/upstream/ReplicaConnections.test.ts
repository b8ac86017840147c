import type { Replica } from '@apricotrill/model';
import { ReplicaConnections } from './ReplicaConnections.js';

const REPLICA = { id: 'engine-1', host: '127.0.0.1', port: 1 } as Replica;

describe('ReplicaConnections', () => {
  // Symptom: after a path was lost, every answer opens a connection of its own for a while.
  // Sequence: several connections of one pool go silent at once; each is found silent a little
  // later than the last, when the pool has long been replaced. Cause: each of them condemned
  // whatever pool was there.
  it('replaces a pool once, however many of its connections went silent', () => {
    const connections = new ReplicaConnections();
    const lost = connections.getShared(REPLICA);
    connections.condemn(REPLICA, lost);
    const fresh = connections.getShared(REPLICA);
    expect(fresh === lost).toBe(false);
    connections.condemn(REPLICA, lost);
    expect(connections.getShared(REPLICA) === fresh).toBe(true);
    connections.condemn(REPLICA, connections.createFresh(REPLICA));
    expect(connections.getShared(REPLICA) === fresh).toBe(false);
    return connections.dispose();
  });
});
