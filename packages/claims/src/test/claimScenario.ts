import type { ClaimResult, ClaimHandle, ClaimOutcome } from '../lib/claimTypes.js';
import { TEST_OPTIONS, TestCluster } from './TestCluster.js';
import type { TestDaemon } from './TestDaemon.js';
import type { Deliver } from './TestStore.js';

/** The outcome of a hold that was placed. */
export const RAN: ClaimOutcome = {
  kind: 'answered',
  answer: { kind: 'whole', status: 201, headers: { 'content-type': 'text/plain' }, body: 'held' },
};

/** Four daemons by what they do for the only shard. */
export interface Roles {
  cluster: TestCluster;
  owner: TestDaemon;
  witness: TestDaemon;
  /** The next in order of preference, and not the witness. */
  next: TestDaemon;
  other: TestDaemon;
}

/** Starts four daemons and lets the shard find its owner. */
export async function start(deliver?: Deliver): Promise<Roles> {
  const cluster = new TestCluster(4, TEST_OPTIONS, deliver);
  await cluster.run(1000);
  const [owner, witness, next, other] = cluster.getOrder();
  return { cluster, owner: owner!, witness: witness!, next: next!, other: other! };
}

/** The handle of a claim that must have been granted. */
export function getHandle(answer: ClaimResult): ClaimHandle {
  expect(answer.kind).toBe('granted');
  return (answer as Extract<ClaimResult, { kind: 'granted' }>).handle;
}
