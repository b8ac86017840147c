import { expectGranted, startCluster } from '../../test/claimScenario.js';
import { TEST_OPTIONS } from '../../test/TestCluster.js';
import type { TestCluster } from '../../test/TestCluster.js';
import type { TestDaemon } from '../../test/TestDaemon.js';
import { MemberStanding } from '../claimTypes.js';

/** Sets the standing of one member in the view of every running daemon. */
function setStanding(cluster: TestCluster, target: TestDaemon, standing: MemberStanding): void {
  const members = cluster
    .getLive()
    .map((member) => (member === target.member ? { ...member, standing } : member));
  cluster.daemons
    .filter(({ isCrashed }) => !isCrashed)
    .forEach((daemon) => daemon.setMembers(members));
}

describe('a claim while members shut down or stop responding', () => {
  // In a rolling restart, an owner that had announced its shutdown was treated as gone, and its
  // shard was taken by force. Callers with new keys were told "unknown".
  it('stays with an owner that is shutting down until it hands over', async () => {
    const { cluster, owner, next, other } = await startCluster();
    setStanding(cluster, owner, MemberStanding.Passive);
    await cluster.run(TEST_OPTIONS.rebalanceDelay!);
    expectGranted(await cluster.ask(next, 'before'));
    await cluster.complete(owner.claims.handOver(2000));
    expectGranted(await cluster.ask(other, 'after'));
    const proofs = cluster.getEvents('shard-taken').map(({ proof }) => proof);
    expect(proofs.sort()).toEqual(['clean', 'fresh']);
  });

  // The owner ended while its offer to the next owner was on the way, because it waited only for
  // the store. Claims were refused for seconds in a rolling restart.
  it('is handed over only once the next owner has been notified', async () => {
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

  // The same when the offer is lost and the next owner has read the head too early.
  it('is taken over by the next daemon asked when the offer was lost', async () => {
    const { cluster, owner, next, other } = await startCluster();
    setStanding(cluster, owner, MemberStanding.Passive);
    await cluster.run(TEST_OPTIONS.rebalanceDelay!);
    cluster.daemons
      .filter((daemon) => daemon !== owner)
      .forEach((peer) => cluster.breakLink(owner, peer));
    await cluster.complete(owner.claims.handOver(2000));
    owner.crash();
    cluster.updateAllMembers();
    expectGranted(await cluster.ask(next, 'one'));
    expectGranted(await cluster.ask(other, 'two'));
  });

  // The daemon that runs a request is shutting down or responds slowly for a moment. Treated as
  // gone, it made callers hear that the state of the request was unknown.
  it.each([MemberStanding.Passive, MemberStanding.Suspect])(
    'is in progress while the daemon that runs it is %s',
    async (standing) => {
      const { cluster, next, other } = await startCluster();
      expectGranted(await cluster.ask(other, 'hold'));
      setStanding(cluster, other, standing);
      expect((await cluster.ask(next, 'hold')).kind).toBe('in-progress');
    },
  );

  // The witness restarted, and a moment later its owner crashed. The owner had kept naming the
  // ended process until the members settled, so the shard refused new keys for a quarter of an hour
  // although the store was up.
  it('has a new witness at once when the old one has ended', async () => {
    const { cluster, owner, witness, next } = await startCluster();
    cluster.restart(witness);
    cluster.updateAllMembers();
    await cluster.run(TEST_OPTIONS.rebalanceDelay! / 5);
    owner.crash();
    cluster.updateAllMembers();
    expect((await cluster.ask(next, 'new')).kind).toBe('granted');
  });
});
