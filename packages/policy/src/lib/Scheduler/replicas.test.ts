import { summarizeEffects, Harness } from '../../test/Harness.js';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, CancelReason } from '../messages.js';

let submittedCount = 0;

/** Submits a request and returns its id and the replica it was dispatched to. */
function submitChat(harness: Harness, rules: { prefixHash?: number; workspace?: string } = {}) {
  submittedCount += 1;
  const id = `chat-${submittedCount}`;
  harness.submit(createRequest(id, classes.chat, rules));
  return { id, replica: harness.getDispatch(id).replica.id };
}

/** Serves requests one after the other, each with the delay of its replica; returns the replicas. */
function serveSequentially(
  harness: Harness,
  requests: number,
  getDelay: (replica: string) => number,
) {
  const replicas: string[] = [];
  for (let index = 0; index < requests; index += 1) {
    const { id, replica } = submitChat(harness);
    harness.advance(getDelay(replica));
    harness.progress(id);
    harness.endAttempt(id, AttemptStatus.Completed);
    replicas.push(replica);
  }
  return replicas;
}

describe('replicas', () => {
  it('sends nothing to a replica that is shutting down, even if it is still listed', () => {
    // Guards against failures at an engine that is shutting down: it has announced the shutdown, but
    // the instance list still contains it.
    const harness = new Harness({ replicas: 2, slots: 50 });
    const replicas = [createReplica('replica-1'), createReplica('replica-2', { slots: 50 })];
    harness.send({ kind: 'replica-leaving', replica: 'replica-1' });
    harness.send({ kind: 'replicas', replicas });
    const used = Array.from({ length: 40 }, () => submitChat(harness).replica);
    expect(new Set(used)).toEqual(new Set(['replica-2']));
    harness.send({ kind: 'replica-returned', replica: 'replica-1' });
    expect(Array.from({ length: 8 }, () => submitChat(harness).replica)).toContain('replica-1');
  });

  it('lets requests finish at a replica that is no longer listed', () => {
    const harness = new Harness({ replicas: 1 });
    const { id } = submitChat(harness);
    harness.send({ kind: 'replicas', replicas: [] });
    expect(summarizeEffects(harness.endAttempt(id, AttemptStatus.Completed))).toEqual([
      `done ${id}`,
    ]);
  });

  it('avoids an unreachable replica for a while, then tries it again', () => {
    // Guards against a dead replica that attracts most requests: it refuses connections at once and
    // therefore always looks least loaded, unless failures are remembered across requests.
    const harness = new Harness({ replicas: 2, slots: 50 });
    const sendFailing = () => {
      const { id, replica } = submitChat(harness);
      harness.endAttempt(
        id,
        replica === 'replica-1' ? AttemptStatus.NotSent : AttemptStatus.Completed,
      );
      return replica;
    };
    const used = Array.from({ length: 20 }, sendFailing);
    expect(used.filter((replica) => replica === 'replica-1').length).toBe(1);
    harness.advance(250);
    expect(Array.from({ length: 20 }, sendFailing)).toContain('replica-1');
  });

  it('avoids a replica with a silent path for a while, unless there is no other', () => {
    const harness = new Harness({ replicas: 2, slots: 50 });
    harness.send({ kind: 'path-silent', replica: 'replica-1' });
    const getUsed = () => new Set(Array.from({ length: 20 }, () => submitChat(harness).replica));
    expect(getUsed()).toEqual(new Set(['replica-2']));
    harness.send({ kind: 'replica-leaving', replica: 'replica-2' });
    expect(getUsed()).toEqual(new Set(['replica-1']));
    harness.send({ kind: 'replica-returned', replica: 'replica-2' });
    harness.advance(1000);
    expect(getUsed().size).toBe(2);
  });

  it('cancels a silent attempt that its owner does not end, and continues elsewhere', () => {
    // Guards against a stream that hangs forever because its connection goes silent and the owner
    // has lost track of it.
    const harness = new Harness({ replicas: 2 });
    const { id, replica } = submitChat(harness);
    const { firstTokenTimeout, tokenGapTimeout } = harness.getDispatch(id);
    harness.advance(firstTokenTimeout);
    harness.progress(id, 4);
    expect(harness.advance(tokenGapTimeout + 499)).toEqual([]);
    const cancel = { kind: 'cancel', id, replica, reason: CancelReason.Silent };
    expect(harness.advance(1)).toMatchObject([cancel]);
    harness.endAttempt(id, AttemptStatus.Cancelled);
    expect(harness.getDispatch(id)).toMatchObject({ attempt: 2, resumeAt: 4 });
    expect(harness.getDispatch(id).replica.id).not.toBe(replica);
  });

  it('detects a straggler by its latencies, probes it, and clears it after recovery', () => {
    // Guards against an engine that becomes slow but reports the same load: without latency
    // measurements, a third of the responses would take five times as long.
    const harness = new Harness({ replicas: 3, slots: 50 });
    serveSequentially(harness, 40, () => 100);
    const getDelay = (replica: string) => (replica === 'replica-2' ? 500 : 100);
    serveSequentially(harness, 90, getDelay);
    const getConvicted = () =>
      harness.scheduler
        .getSnapshot()
        .services[0]!.replicas.filter(({ convicted }) => convicted)
        .map(({ id }) => id);
    expect(getConvicted()).toEqual(['replica-2']);
    const probes = serveSequentially(harness, 50, getDelay).filter(
      (replica) => replica === 'replica-2',
    );
    expect(probes.length).toBeGreaterThan(0);
    expect(probes.length).toBeLessThan(10);
    serveSequentially(harness, 60, () => 100);
    expect(getConvicted()).toEqual([]);
  });

  it('limits the fraction of replicas marked as stragglers', () => {
    const countConvicted = (maxConvicted: number) => {
      const harness = new Harness({
        replicas: 6,
        slots: 50,
        options: { maxStragglerRatio: maxConvicted },
      });
      const slowReplicas = ['replica-1', 'replica-2'];
      serveSequentially(harness, 80, () => 100);
      serveSequentially(harness, 200, (replica) => (slowReplicas.includes(replica) ? 1000 : 100));
      const { replicas } = harness.scheduler.getSnapshot().services[0]!;
      return replicas.filter(({ convicted }) => convicted).length;
    };
    expect([countConvicted(1 / 3), countConvicted(1 / 6)]).toEqual([2, 1]);
  });

  it('sends the same prompt prefix to the same replica, up to a load bound', () => {
    const harness = new Harness({ replicas: 8, slots: 50 });
    const prefixHashes = Array.from({ length: 12 }, (_, prefixHash) => prefixHash);
    const getReplica = (prefixHash: number) => {
      const { id, replica } = submitChat(harness, { prefixHash });
      harness.endAttempt(id, AttemptStatus.Completed);
      return replica;
    };
    const first = prefixHashes.map(getReplica);
    expect(prefixHashes.map(getReplica)).toEqual(first);
    expect(new Set(first).size).toBeGreaterThan(4);
    const hotPrefixReplicas = Array.from(
      { length: 80 },
      () => submitChat(harness, { prefixHash: 3 }).replica,
    );
    const sameReplicaCount = hotPrefixReplicas.filter((replica) => replica === first[3]).length;
    expect(sameReplicaCount).toBeLessThan(40);
  });

  it('sends a request only to replicas on which its model is placed', () => {
    const harness = new Harness({ replicas: 0 });
    const placements = [['laaja@1'], ['nopea:kortti@2'], ['laaja@2', 'nopea:kortti@2']];
    const replicas = placements.map((placement, index) =>
      createReplica(`replica-${index}`, { placement, slots: 50 }),
    );
    harness.send({ kind: 'replicas', replicas });
    const used = Array.from({ length: 30 }, (_, index) => {
      const request = createRequest(`nopea-${index}`, classes.chat, { model: 'nopea:kortti' });
      harness.submit(request);
      return harness.getDispatch(request.id).replica.id;
    });
    expect(new Set(used)).toEqual(new Set(['replica-1', 'replica-2']));
  });
});
