import type { ClaimResult, ClaimHandle, ClaimOutcome } from '../lib/claimTypes.js';
import { TEST_OPTIONS, TestCluster } from './TestCluster.js';
import type { TestDaemon } from './TestDaemon.js';
import type { Deliver } from './TestStore.js';

/** The outcome of a request that was answered. */
export const ANSWERED: ClaimOutcome = {
  kind: 'answered',
  answer: { kind: 'whole', status: 201, headers: { 'content-type': 'text/plain' }, body: 'held' },
};

/** Four daemons by their roles for the only shard. */
export interface ClusterRoles {
  cluster: TestCluster;
  owner: TestDaemon;
  witness: TestDaemon;
  /** The next in order of preference after the owner that is not the witness. */
  next: TestDaemon;
  other: TestDaemon;
}

/** Starts four daemons and lets the shard find its owner. */
export async function startCluster(deliver?: Deliver): Promise<ClusterRoles> {
  const cluster = new TestCluster(4, TEST_OPTIONS, deliver);
  await cluster.run(1000);
  const [owner, witness, next, other] = cluster.getOrder();
  return { cluster, owner: owner!, witness: witness!, next: next!, other: other! };
}

/** Expects that a claim was granted, and returns its handle. */
export function expectGranted(result: ClaimResult): ClaimHandle {
  expect(result.kind).toBe('granted');
  return (result as Extract<ClaimResult, { kind: 'granted' }>).handle;
}
