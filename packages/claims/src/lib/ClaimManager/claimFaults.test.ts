import { expectGranted, ANSWERED, startCluster } from '../../test/claimScenario.js';
import { TEST_OPTIONS } from '../../test/TestCluster.js';

const RETENTION = TEST_OPTIONS.retention!;

const WITNESS_TRUST_TIMEOUT = TEST_OPTIONS.witnessTrustTimeout!;

describe('a claim under faults', () => {
  // After a lost confirmation, an owner that did not look for the id of its commit took that commit
  // for a newer owner's, and refused a claim that the store had.
  it('is granted when its confirmation was lost', async () => {
    const { cluster, owner, other } = await startCluster();
    cluster.store.setFault('lose');
    expectGranted(await cluster.ask(other, 'hold'));
    expect(cluster.getEvents('shard-left')).toEqual([]);
    expect(owner.claims.getOwnedShards()).toEqual([0]);
  });

  // The owner granted a claim with its witness alone while the store was down, and crashed. A next
  // owner that read only the head, without the witness's memory, granted the key again.
  it('is found by the next owner when only the witness remembers it', async () => {
    const { cluster, owner, next, other } = await startCluster();
    cluster.store.setFault('down');
    expectGranted(await cluster.ask(other, 'hold'));
    owner.crash();
    cluster.store.setFault('up');
    cluster.updateAllMembers();
    expect((await cluster.ask(next, 'hold')).kind).toBe('in-progress');
    expect((await cluster.ask(next, 'new')).kind).toBe('granted');
  });

  // A paused owner resumed after another daemon had taken the shard. It granted the key again if
  // its commit could overwrite the new owner's, or if the witness had returned its memory without
  // sealing the epoch and still acknowledged mutations.
  it.each([true, false])('is not granted by a paused owner, store cut off: %s', async (isCut) => {
    const { cluster, owner, next, other } = await startCluster();
    owner.pause();
    cluster.updateAllMembers();
    [next, other].forEach((daemon) => daemon.setMembers([next.member, other.member]));
    expectGranted(await cluster.ask(next, 'notice'));
    if (isCut) {
      cluster.store.unreachableFrom.add(owner.member.id);
    }
    owner.resume();
    expect((await cluster.ask(owner, 'notice')).kind).not.toBe('granted');
    cluster.store.unreachableFrom.clear();
    await cluster.run(3000);
    expect((await cluster.ask(owner, 'notice')).kind).toBe('in-progress');
    expect(next.claims.getOwnedShards()).toEqual([0]);
  });

  // Owner and witness both restarted after grants without the store. The empty memory of the new
  // witness process must not count as proof that nothing was granted, and the following owner must
  // inherit the quarantine.
  it('is answered unknown while a lost witness may have remembered it', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    cluster.store.setFault('down');
    expectGranted(await cluster.ask(other, 'hold'));
    const ended = expectGranted(await cluster.ask(other, 'ended'));
    cluster.restart(owner);
    cluster.restart(witness);
    cluster.store.setFault('up');
    [next, other].forEach((daemon) => daemon.setMembers([next.member, other.member]));
    expect(await cluster.ask(next, 'hold')).toEqual({ kind: 'unknown', cause: 'quarantine' });
    await cluster.complete(other.claims.recordOutcome(ended, ANSWERED));
    expect((await cluster.ask(next, 'ended')).kind).toBe('settled');
    await cluster.complete(next.claims.handOver(1000));
    other.setMembers([other.member]);
    await cluster.run(RETENTION);
    expect(await cluster.ask(other, 'hold')).toEqual({ kind: 'unknown', cause: 'quarantine' });
    expect(other.claims.getOwnedShards()).toEqual([0]);
    await cluster.run(TEST_OPTIONS.claimTimeout! + 1);
    expect((await cluster.ask(other, 'hold')).kind).toBe('granted');
  });

  // Owner and witness were cut off from the store and from the other daemons, which took over the
  // shard, waited and granted. An old owner that trusted its witness without a time limit granted
  // the same key again hours later.
  it('is not granted on either side of a partition while the other side may grant it', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    const oneSide = [owner, witness];
    const otherSide = [next, other];
    oneSide.forEach(({ member }) => cluster.store.unreachableFrom.add(member.id));
    oneSide.forEach((left) => otherSide.forEach((right) => cluster.breakLink(left, right)));
    otherSide.forEach((daemon) => daemon.setMembers([next.member, other.member]));
    oneSide.forEach((daemon) => daemon.setMembers([owner.member, witness.member]));
    expect((await cluster.ask(next, 'early')).kind).toBe('unknown');
    expectGranted(await cluster.ask(owner, 'early'));
    await cluster.run(WITNESS_TRUST_TIMEOUT - 3000);
    expectGranted(await cluster.ask(witness, 'notice'));
    await cluster.run(3000);
    expect((await cluster.ask(owner, 'late')).kind).toBe('unavailable');
    await cluster.run(RETENTION - 3000);
    expect((await cluster.ask(next, 'notice')).kind).toBe('unknown');
    await cluster.run(5000);
    expect((await cluster.ask(next, 'late')).kind).toBe('granted');
  });

  // The next owner could not reach the witness but reached the old owner, which had lost the store.
  // Told that the epoch had ended, it shortened the quarantine. An old owner that responded so and
  // went on granting caused a second run.
  it('is not granted by an owner that was asked to release the shard', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    cluster.store.unreachableFrom.add(owner.member.id);
    [next, other].forEach((daemon) => cluster.breakLink(daemon, witness));
    [next, other].forEach((daemon) => daemon.setMembers([next.member, other.member]));
    expectGranted(await cluster.ask(owner, 'hold'));
    expect((await cluster.ask(next, 'new')).kind).toBe('unknown');
    await cluster.run(1000);
    expect((await cluster.ask(next, 'hold')).kind).not.toBe('granted');
    expectGranted(await cluster.ask(next, 'new'));
    expect((await cluster.ask(owner, 'new')).kind).not.toBe('granted');
  });

  // The owner named a new witness, the confirmation of that write was lost, and then the store
  // failed. It granted with the old witness and crashed, and the next owner asked the new witness:
  // an owner must not trust a witness that the head may no longer name.
  it('is not granted with a witness that the head may no longer name', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    cluster.store.setFault('lose');
    cluster.store.onLoss = (id) => cluster.store.unreachableFrom.add(id);
    owner.setMembers(cluster.getLive().filter(({ id }) => id !== witness.member.id));
    await cluster.run(TEST_OPTIONS.rebalanceDelay!);
    const result = await cluster.ask(owner, 'hold');
    owner.crash();
    cluster.updateAllMembers();
    const repeat = await cluster.ask(next, 'hold');
    expect([result.kind, repeat.kind].filter((kind) => kind === 'granted')).toHaveLength(1);
    expect(other.claims.getOwnedShards()).toEqual([]);
  });

  // An entry daemon was suspended while its grant was on the way, and resumed after the key had
  // expired and been granted to another. A grant that arrives too late must not be used.
  it('is not granted to a daemon that was paused beyond the claim timeout', async () => {
    const { cluster, owner, next, other } = await startCluster();
    cluster.store.setFault('down');
    const pendingClaim = cluster.claim(other, 'hold');
    other.pause();
    await cluster.run(2 * RETENTION + 100);
    cluster.store.setFault('up');
    await cluster.run(1000);
    expectGranted(await cluster.ask(next, 'hold'));
    other.resume();
    // The daemon cannot know that the key was granted to another since and may have run.
    const result = await cluster.complete(pendingClaim);
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: false });
    expect(owner.claims.getOwnedShards()).toEqual([0]);
  });

  // An entry daemon was paused while its grant was on the way, for less than the retention. Its
  // caller was told that the state of the request was unknown, although a late grant still proves
  // that nothing ran.
  it('is proved not to have run when its grant arrived too late', async () => {
    const { cluster, next, other } = await startCluster();
    const pendingClaim = cluster.claim(other, 'hold');
    other.pause();
    await cluster.run(TEST_OPTIONS.claimTimeout! + 100);
    other.resume();
    const result = await cluster.complete(pendingClaim);
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: true });
    await cluster.run(1000);
    expect((await cluster.ask(next, 'hold')).kind).toBe('granted');
  });

  // A daemon that reached no owner took the missing grant of its own attempt as proof that no
  // attempt was granted. It called a running request "not run", and the request ran twice.
  it('is not reported as not run by a daemon that reaches no owner', async () => {
    const { cluster, owner, next, other } = await startCluster();
    expectGranted(await cluster.ask(other, 'hold'));
    owner.pause();
    const result = await cluster.ask(next, 'hold');
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: false });
    owner.resume();
    expect((await cluster.ask(next, 'hold')).kind).toBe('in-progress');
  });

  // An outcome was reported only once. Owner and witness crashed before the commit, and repeats
  // were told `unknown` although the request had ended well.
  it('keeps its outcome when the owner crashes before storing it', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    const handle = expectGranted(await cluster.ask(other, 'hold'));
    cluster.store.setFault('down');
    other.claims.recordOutcome(handle, ANSWERED);
    await cluster.run(TEST_OPTIONS.claimTimeout! + 100);
    owner.crash();
    witness.crash();
    cluster.store.setFault('up');
    cluster.updateAllMembers();
    await cluster.run(3000);
    expect((await cluster.ask(next, 'hold')).kind).toBe('settled');
  });

  // The response with a grant was lost and the entry daemon gave up, then a copy of its claim
  // arrived late. Repeats were told "in progress" for half an hour although nothing ran.
  it('is released by a daemon that gave up, even if a copy of it arrives late', async () => {
    const { cluster, owner, next, other } = await startCluster();
    cluster.breakLink(other, owner);
    cluster.store.setFault('down');
    owner.pause();
    const abandonedClaim = cluster.claim(other, 'hold');
    await cluster.run(0);
    cluster.brokenLinks.clear();
    expect((await cluster.complete(abandonedClaim)).kind).toBe('unavailable');
    const copy = cluster.sent.find(({ kind }) => kind === 'claim')!;
    owner.resume();
    cluster.store.setFault('up');
    await cluster.run(2000);
    expect((await owner.claims.handle('late', copy)).kind).toBe('refused');
    expect((await cluster.ask(next, 'hold')).kind).toBe('granted');
  });

  // The witness remembered a claim that had since been released at the store and the key granted
  // anew. If its older mutation replaced the newer state after a crash of the owner, the outcome
  // was lost and the key was free while the request ran.
  it('is not overwritten by an older mutation of a witness', async () => {
    const { cluster, owner, next, other } = await startCluster();
    cluster.store.setFault('down');
    const first = expectGranted(await cluster.ask(other, 'hold'));
    cluster.store.setFault('up');
    await cluster.run(1000);
    await cluster.complete(other.claims.recordOutcome(first, { kind: 'not-run' }));
    const second = expectGranted(await cluster.ask(other, 'hold'));
    owner.crash();
    cluster.updateAllMembers();
    await cluster.complete(other.claims.recordOutcome(second, ANSWERED));
    expect((await cluster.ask(next, 'hold')).kind).toBe('settled');
  });

  it('is answered unknown when the daemon that ran it has crashed', async () => {
    const { cluster, next, other } = await startCluster();
    expectGranted(await cluster.ask(other, 'hold'));
    other.crash();
    cluster.updateAllMembers();
    expect(await cluster.ask(next, 'hold')).toEqual({ kind: 'unknown', cause: 'holder-gone' });
  });

  it('is refused at once, without proof that it did not run, if neither store nor witness responds', async () => {
    const { cluster, owner, witness, other } = await startCluster();
    cluster.store.setFault('down');
    await cluster.run(TEST_OPTIONS.verifyInterval!);
    witness.crash();
    await cluster.ask(other, 'first');
    const before = cluster.clock.now();
    // The owner may have lost the shard to another daemon that granted the key.
    const result = await cluster.ask(other, 'second');
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: false });
    expect(cluster.clock.now() - before).toBeLessThan(TEST_OPTIONS.callTimeout!);
    expect(owner.claims.getOwnedShards()).toEqual([0]);
  });

  // Guards against the end of each process that reads the shard: the store, or an intermediary, answered with a text
  // that is no head.
  it.each(['<html>', 'null', '{}', '{"segments":3}'])(
    'is granted once the head can be read again, after the store answered %s',
    async (text) => {
      const { cluster, owner, next, other } = await startCluster();
      expectGranted(await cluster.ask(other, 'before'));
      const { key, value } = cluster.store.list('claims/').find((each) => each.key === 'claims/0')!;
      cluster.store.replaceValue(key, text);
      owner.crash();
      cluster.updateAllMembers();
      expect((await cluster.ask(next, 'meanwhile')).kind).toBe('unavailable');
      expect(cluster.getEvents('object-unreadable')).toContainEqual({
        kind: 'object-unreadable',
        key,
      });
      cluster.store.replaceValue(key, value);
      await cluster.run(3000);
      expect((await cluster.ask(next, 'before')).kind).toBe('in-progress');
      expect((await cluster.ask(next, 'after')).kind).toBe('granted');
    },
  );
});
