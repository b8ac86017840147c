import { expectGranted, ANSWERED, startCluster } from '../../test/claimScenario.js';
import { TEST_OPTIONS } from '../../test/TestCluster.js';

const RETENTION = TEST_OPTIONS.retention!;

describe('a claim without faults', () => {
  it('is granted once, whichever daemon asks, and repeats get the response', async () => {
    const { cluster, owner, witness, next, other } = await startCluster();
    const handle = expectGranted(await cluster.ask(other, 'hold'));
    expect((await cluster.ask(next, 'hold')).kind).toBe('in-progress');
    expect((await cluster.ask(owner, 'hold', 'another body')).kind).toBe('mismatch');
    await cluster.complete(other.claims.recordOutcome(handle, ANSWERED));
    const { requestId } = handle.request;
    const expected = { kind: 'settled', requestId, answer: Object(ANSWERED).answer };
    expect(await cluster.ask(witness, 'hold')).toEqual(expected);
    await cluster.run(RETENTION);
    expect((await cluster.ask(next, 'hold')).kind).toBe('granted');
  });

  it('releases the key when its request provably did not run, but only for its own claim', async () => {
    const { cluster, other, next } = await startCluster();
    const first = expectGranted(await cluster.ask(other, 'hold'));
    await cluster.complete(other.claims.recordOutcome(first, { kind: 'not-run' }));
    expectGranted(await cluster.ask(next, 'hold'));
    await cluster.complete(other.claims.recordOutcome(first, { kind: 'not-run' }));
    expect((await cluster.ask(other, 'hold')).kind).toBe('in-progress');
  });

  it('moves with the shard on a graceful shutdown, without a quarantine', async () => {
    const { cluster, owner, next, other } = await startCluster();
    const handle = expectGranted(await cluster.ask(other, 'hold'));
    other.claims.recordOutcome(handle, ANSWERED);
    const result = await cluster.complete(owner.claims.handOver(2000));
    expect(result).toEqual({ ownedShards: 0, unreportedOutcomes: 0 });
    owner.crash();
    cluster.updateAllMembers();
    await cluster.run(1000);
    expect((await cluster.ask(next, 'hold')).kind).toBe('settled');
    expect((await cluster.ask(next, 'new')).kind).toBe('granted');
    const proofs = cluster.getEvents('shard-taken').map(({ proof }) => proof);
    expect(proofs.sort()).toEqual(['clean', 'fresh']);
  });

  // Claims were refused while daemons were replaced one by one: an offer that arrived while the
  // next owner was reading a head not yet updated by the last one was dropped.
  it('is not refused during a rolling restart', async () => {
    const { cluster } = await startCluster();
    const kinds: string[] = [];
    for (const leaving of cluster.getOrder()) {
      const rest = cluster.daemons.filter((daemon) => daemon !== leaving);
      const ask = (part: string) =>
        rest.map((daemon) =>
          cluster.claim(daemon, `${leaving.member.id}${daemon.member.id}${part}`),
        );
      const before = ask('before');
      const done = leaving.claims.handOver(2000);
      const answers = Promise.all([...before, ...ask('during')]);
      // One daemon at a time, as in an operator's rolling restart.
      // eslint-disable-next-line no-await-in-loop
      await cluster.complete(done);
      cluster.restart(leaving);
      cluster.updateAllMembers();
      // eslint-disable-next-line no-await-in-loop
      kinds.push(...(await cluster.complete(answers)).map(({ kind }) => kind));
    }
    expect(kinds).toEqual(Array(24).fill('granted'));
  });
});
