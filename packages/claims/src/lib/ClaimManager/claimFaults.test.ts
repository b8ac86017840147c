import { expectGranted, ANSWERED, startCluster } from '../../test/claimScenario.js';
import { TEST_OPTIONS } from '../../test/TestCluster.js';

const RETENTION = TEST_OPTIONS.retention!;

const WITNESS_TRUST_TIMEOUT = TEST_OPTIONS.witnessTrustTimeout!;

describe('a claim under faults', () => {
  // Symptom: a hold is refused, or reported as running elsewhere, although its claim is stored.
  // Sequence: the commit takes effect and its confirmation is lost. Cause: the owner takes its own
  // commit for a newer owner's unless it looks for the commit's id.
  it('is granted when its confirmation was lost', async () => {
    const { cluster, owner, other } = await startCluster();
    cluster.store.setFault('lose');
    expectGranted(await cluster.ask(other, 'hold'));
    expect(cluster.getEvents('shard-left')).toEqual([]);
    expect(owner.claims.getOwnedShards()).toEqual([0]);
  });

  // Symptom: a hold placed twice. Sequence: the store is down; the owner grants on its witness's
  // word and crashes; the store is back; the next owner has only the object. Cause: the witness is
  // not asked for what it remembers.
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

  // Symptom: a payment notice sent twice. Sequence: the owner is paused; another takes the shard;
  // the old one wakes, with the store or without it. Cause: its commit overwrites the new owner's,
  // or the witness was asked for its memory without sealing the epoch and still acknowledges.
  it.each([true, false])('is not granted by an owner that slept, store cut: %s', async (isCut) => {
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

  // Symptom: a hold placed twice. Sequence: during an outage the owner grants on its witness's
  // word; both restart; the witness's new process remembers nothing. Cause: an empty memory is
  // taken for "nothing was granted", or the next owner but one does not know of the doubt.
  it('is answered unknown while a lost witness may have known it', async () => {
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

  // Symptom: a notice sent twice, hours into a network split. Sequence: owner and witness are cut
  // off from the store and from the others; the others take the shard, wait and grant; the old
  // owner grants the same key. Cause: the old owner's trust in its witness has no end.
  it('is not granted on either side of a split while the other side may grant it', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    const here = [owner, witness];
    const there = [next, other];
    here.forEach(({ member }) => cluster.store.unreachableFrom.add(member.id));
    here.forEach((left) => there.forEach((right) => cluster.breakLink(left, right)));
    there.forEach((daemon) => daemon.setMembers([next.member, other.member]));
    here.forEach((daemon) => daemon.setMembers([owner.member, witness.member]));
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

  // Symptom: a hold placed twice. Sequence: the next owner cannot reach the witness, but reaches
  // the old owner, which has lost the store; told that the epoch has ended, it shortens its
  // quarantine. Cause: the old owner answers and goes on granting.
  it('is not granted by an owner that a challenger asked to let go', async () => {
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

  // Symptom: a hold placed twice. Sequence: the owner names a new witness, the confirmation is
  // lost and then the store; it grants on the old witness's word and crashes; the next owner asks
  // the new witness. Cause: trust in a witness that the object may no longer name.
  it('is not granted on the word of a witness that the object may not name', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    cluster.store.setFault('lose');
    cluster.store.onLoss = (id) => cluster.store.unreachableFrom.add(id);
    owner.setMembers(cluster.getLive().filter(({ id }) => id !== witness.member.id));
    await cluster.run(TEST_OPTIONS.moveDelay!);
    const result = await cluster.ask(owner, 'hold');
    owner.crash();
    cluster.updateAllMembers();
    const repeat = await cluster.ask(next, 'hold');
    expect([result.kind, repeat.kind].filter((kind) => kind === 'granted')).toHaveLength(1);
    expect(other.claims.getOwnedShards()).toEqual([]);
  });

  // Symptom: a hold placed twice. Sequence: the entry daemon is frozen while its grant is under
  // way; it wakes after the key expired and was granted to another. Cause: a late grant is used.
  it('is not granted to a daemon that slept through the claim timeout', async () => {
    const { cluster, owner, next, other } = await startCluster();
    cluster.store.setFault('down');
    const asleep = cluster.claim(other, 'hold');
    other.pause();
    await cluster.run(2 * RETENTION + 100);
    cluster.store.setFault('up');
    await cluster.run(1000);
    expectGranted(await cluster.ask(next, 'hold'));
    other.resume();
    // What the daemon can't know: the key was granted to another since, and may have run.
    const result = await cluster.complete(asleep);
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: false });
    expect(owner.claims.getOwnedShards()).toEqual([0]);
  });

  // Symptom: a caller is told that nobody knows whether its hold ran, though nothing ran. Sequence: the
  // entry daemon is paused while its grant is under way, for less than keys are kept. Cause: a grant
  // that comes too late for use is still a proof.
  it('is proved not run when its grant came too late', async () => {
    const { cluster, next, other } = await startCluster();
    const asleep = cluster.claim(other, 'hold');
    other.pause();
    await cluster.run(TEST_OPTIONS.claimTimeout! + 100);
    other.resume();
    const result = await cluster.complete(asleep);
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: true });
    await cluster.run(1000);
    expect((await cluster.ask(next, 'hold')).kind).toBe('granted');
  });

  // Symptom: a hold is called "not run" while it runs, and is placed twice. Sequence: it is granted and
  // runs; its caller asks again at a daemon to which no owner answers. Cause: no grant of this try
  // taken for a proof that no other try was granted.
  it('is not called "not run" by a daemon that reaches no owner', async () => {
    const { cluster, owner, next, other } = await startCluster();
    expectGranted(await cluster.ask(other, 'hold'));
    owner.pause();
    const result = await cluster.ask(next, 'hold');
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: false });
    owner.resume();
    expect((await cluster.ask(next, 'hold')).kind).toBe('in-progress');
  });

  // Symptom: a repeat is told `unknown` although the request ended well. Sequence: its outcome is
  // held by the owner and its witness, which crash before the commit. Cause: the outcome is
  // reported only once.
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

  // Symptom: a hold is told "in progress" for half an hour, though nothing runs. Sequence: the
  // grant's response is lost and the entry daemon gives up; a copy of its claim comes late. Cause: the
  // key is not given back, or is taken again for a claim that no longer exists.
  it('is given back by a daemon that gave up, late copies notwithstanding', async () => {
    const { cluster, owner, next, other } = await startCluster();
    cluster.breakLink(other, owner);
    cluster.store.setFault('down');
    owner.pause();
    const given = cluster.claim(other, 'hold');
    await cluster.run(0);
    cluster.brokenLinks.clear();
    expect((await cluster.complete(given)).kind).toBe('unavailable');
    const copy = cluster.sent.find(({ kind }) => kind === 'claim')!;
    owner.resume();
    cluster.store.setFault('up');
    await cluster.run(2000);
    expect((await owner.claims.handle('late', copy)).kind).toBe('refused');
    expect((await cluster.ask(next, 'hold')).kind).toBe('granted');
  });

  // Symptom: the answer of a hold is lost, and its key is free while it runs. Sequence: the witness
  // remembers a claim that has since been released at the store, and the key granted anew; the
  // owner crashes. Cause: the witness's older word replaces the store's newer one.
  it('is not undone by what a witness remembers from before', async () => {
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

  it('ends as unknown when the daemon that ran it died', async () => {
    const { cluster, next, other } = await startCluster();
    expectGranted(await cluster.ask(other, 'hold'));
    other.crash();
    cluster.updateAllMembers();
    expect(await cluster.ask(next, 'hold')).toEqual({ kind: 'unknown', cause: 'holder-gone' });
  });

  it('is refused at once, without a proof, while neither store nor witness answers', async () => {
    const { cluster, owner, witness, other } = await startCluster();
    cluster.store.setFault('down');
    await cluster.run(TEST_OPTIONS.verifyInterval!);
    witness.crash();
    await cluster.ask(other, 'first');
    const before = cluster.clock.now();
    // The owner may have lost the shard to one that granted the key.
    const result = await cluster.ask(other, 'second');
    expect(result).toMatchObject({ kind: 'unavailable', isProvedNotRun: false });
    expect(cluster.clock.now() - before).toBeLessThan(TEST_OPTIONS.callTimeout!);
    expect(owner.claims.getOwnedShards()).toEqual([0]);
  });
});
