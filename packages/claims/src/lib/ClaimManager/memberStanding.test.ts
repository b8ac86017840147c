import { expectGranted, startCluster } from '../../test/claimScenario.js';
import { TEST_OPTIONS } from '../../test/TestCluster.js';
import type { TestCluster } from '../../test/TestCluster.js';
import type { TestDaemon } from '../../test/TestDaemon.js';
import { MemberStanding } from '../claimTypes.js';

/** Everyone that runs sees a member in this standing. */
function lookAt(cluster: TestCluster, seen: TestDaemon, standing: MemberStanding): void {
  const members = cluster
    .getLive()
    .map((member) => (member === seen.member ? { ...member, standing } : member));
  cluster.daemons
    .filter(({ isCrashed }) => !isCrashed)
    .forEach((daemon) => daemon.setMembers(members));
}

describe('a claim among members that come and go', () => {
  // Symptom: in a rolling restart a caller with a new key is told "unknown". Sequence: the owner
  // announces that it shuts down and still owns its shard; the next daemon is asked. Cause: who gets
  // no new duties is taken for gone, and its shard is taken from it by force.
  it('stays with an owner that shuts down until it hands over', async () => {
    const { cluster, owner, next, other } = await startCluster();
    lookAt(cluster, owner, MemberStanding.Passive);
    await cluster.run(TEST_OPTIONS.moveDelay!);
    expectGranted(await cluster.ask(next, 'before'));
    await cluster.complete(owner.claims.handOver(2000));
    expectGranted(await cluster.ask(other, 'after'));
    const proofs = cluster.getEvents('shard-taken').map(({ proof }) => proof);
    expect(proofs.sort()).toEqual(['clean', 'fresh']);
  });

  // Symptom: holds are refused for seconds in a rolling restart. Sequence: the owner hands its shard
  // over and ends while the offer to the next one is on its way. Cause: it waits for the store only.
  it('is handed over only once the next owner knows', async () => {
    let take = () => {};
    const deliver = (message: string) =>
      message.endsWith('take')
        ? new Promise<void>((resolve) => {
            take = resolve;
          })
        : Promise.resolve();
    const { cluster, owner } = await startCluster(deliver);
    let isDone = false;
    const done = owner.claims.handOver(2000).finally(() => {
      isDone = true;
    });
    await cluster.run(TEST_OPTIONS.callTimeout! / 2);
    expect({ owned: owner.claims.getOwnedShards(), isDone }).toEqual({ owned: [], isDone: false });
    take();
    await cluster.complete(done);
    expect(cluster.getEvents('shard-taken')).toHaveLength(2);
  });

  // The same, where the offer is lost and the next owner has looked too early.
  it('is taken by whoever is asked next when the offer was lost', async () => {
    const { cluster, owner, next, other } = await startCluster();
    lookAt(cluster, owner, MemberStanding.Passive);
    await cluster.run(TEST_OPTIONS.moveDelay!);
    cluster.daemons
      .filter((daemon) => daemon !== owner)
      .forEach((peer) => cluster.breakLink(owner, peer));
    await cluster.complete(owner.claims.handOver(2000));
    owner.crash();
    cluster.updateAllMembers();
    expectGranted(await cluster.ask(next, 'one'));
    expectGranted(await cluster.ask(other, 'two'));
  });

  // Symptom: a caller is told that nobody knows whether its hold ran, while it runs. Sequence: the
  // daemon that runs it shuts down, or is slow to answer for a moment. Cause: as above.
  it.each([MemberStanding.Passive, MemberStanding.Doubted])(
    'is in progress while the daemon that runs it is %s',
    async (standing) => {
      const { cluster, next, other } = await startCluster();
      expectGranted(await cluster.ask(other, 'hold'));
      lookAt(cluster, other, standing);
      expect((await cluster.ask(next, 'hold')).kind).toBe('in-progress');
    },
  );

  // Symptom: a shard refuses new keys for a quarter of an hour after two crashes, the store up all
  // the time. Sequence: the witness starts again; a moment later its owner crashes. Cause: the owner
  // goes on naming a process that has ended until the members have settled.
  it('has a new witness at once when the old one has ended', async () => {
    const { cluster, owner, witness, next } = await startCluster();
    cluster.restart(witness);
    cluster.updateAllMembers();
    await cluster.run(TEST_OPTIONS.moveDelay! / 5);
    owner.crash();
    cluster.updateAllMembers();
    expect((await cluster.ask(next, 'new')).kind).toBe('granted');
  });
});
