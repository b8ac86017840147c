import { getBrief, Harness } from '../../test/Harness.js';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, CancelReason } from '../messages.js';

let count = 0;

/** Submits a request and returns the replica it went to. */
function send(harness: Harness, rules: { prefixHash?: number; workspace?: string } = {}) {
  count += 1;
  const id = `chat-${count}`;
  harness.submit(createRequest(id, classes.chat, rules));
  return { id, replica: harness.getDispatch(id).replica.id };
}

/** Sends requests one after the other; each answers after its replica's delay. */
function serve(harness: Harness, requests: number, getDelay: (replica: string) => number) {
  const replicas: string[] = [];
  for (let index = 0; index < requests; index += 1) {
    const { id, replica } = send(harness);
    harness.advance(getDelay(replica));
    harness.progress(id);
    harness.end(id, AttemptStatus.Completed);
    replicas.push(replica);
  }
  return replicas;
}

describe('replicas', () => {
  it('sends nothing to one that is leaving, even if the list still has it', () => {
    // Symptom: requests break when an engine shuts down. Sequence: it says that it leaves, and the
    // instance list goes on naming it. Cause: the list alone was believed.
    const harness = new Harness({ replicas: 2, slots: 50 });
    const replicas = [createReplica('replica-1'), createReplica('replica-2', { slots: 50 })];
    harness.tell({ kind: 'replica-leaving', replica: 'replica-1' });
    harness.tell({ kind: 'replicas', replicas });
    const used = Array.from({ length: 40 }, () => send(harness).replica);
    expect(new Set(used)).toEqual(new Set(['replica-2']));
    harness.tell({ kind: 'replica-returned', replica: 'replica-1' });
    expect(Array.from({ length: 8 }, () => send(harness).replica)).toContain('replica-1');
  });

  it('lets what runs at one that left the list come to its end', () => {
    const harness = new Harness({ replicas: 1 });
    const { id } = send(harness);
    harness.tell({ kind: 'replicas', replicas: [] });
    expect(getBrief(harness.end(id, AttemptStatus.Completed))).toEqual([`done ${id}`]);
  });

  it('avoids one that cannot be reached, and tries it again', () => {
    // Symptom: a dead replica swallows most requests. Sequence: it refuses connections at once, so
    // it always looks least loaded. Cause: failures were not remembered beyond their request.
    const harness = new Harness({ replicas: 2, slots: 50 });
    const fail = () => {
      const { id, replica } = send(harness);
      harness.end(id, replica === 'replica-1' ? AttemptStatus.NotSent : AttemptStatus.Completed);
      return replica;
    };
    const used = Array.from({ length: 20 }, fail);
    expect(used.filter((replica) => replica === 'replica-1').length).toBe(1);
    harness.advance(250);
    expect(Array.from({ length: 20 }, fail)).toContain('replica-1');
  });

  it('avoids a silent path for a moment, unless there is no other', () => {
    const harness = new Harness({ replicas: 2, slots: 50 });
    harness.tell({ kind: 'path-silent', replica: 'replica-1' });
    const used = () => new Set(Array.from({ length: 20 }, () => send(harness).replica));
    expect(used()).toEqual(new Set(['replica-2']));
    harness.tell({ kind: 'replica-leaving', replica: 'replica-2' });
    expect(used()).toEqual(new Set(['replica-1']));
    harness.tell({ kind: 'replica-returned', replica: 'replica-2' });
    harness.advance(1000);
    expect(used().size).toBe(2);
  });

  it('ends a silent attempt whose owner does not, and goes on elsewhere', () => {
    // Symptom: a stream hangs for ever. Sequence: the connection goes silent and its owner lost
    // track of it. Cause: nobody else watched.
    const harness = new Harness({ replicas: 2 });
    const { id, replica } = send(harness);
    const { firstTokenTimeout, tokenGapTimeout } = harness.getDispatch(id);
    harness.advance(firstTokenTimeout);
    harness.progress(id, 4);
    expect(harness.advance(tokenGapTimeout + 499)).toEqual([]);
    const cancel = { kind: 'cancel', id, replica, reason: CancelReason.Silent };
    expect(harness.advance(1)).toMatchObject([cancel]);
    harness.end(id, AttemptStatus.Cancelled);
    expect(harness.getDispatch(id)).toMatchObject({ attempt: 2, resumeAt: 4 });
    expect(harness.getDispatch(id).replica.id).not.toBe(replica);
  });

  it('convicts a straggler by its answers, probes it, and takes it back', () => {
    // Symptom: a third of the answers take five times as long. Sequence: an engine slows down and
    // reports the same load as ever. Cause: only reports were looked at.
    const harness = new Harness({ replicas: 3, slots: 50 });
    serve(harness, 40, () => 100);
    const slow = (replica: string) => (replica === 'replica-2' ? 500 : 100);
    serve(harness, 90, slow);
    const isConvicted = () =>
      harness.scheduler
        .getSnapshot()
        .services[0]!.replicas.filter(({ convicted }) => convicted)
        .map(({ id }) => id);
    expect(isConvicted()).toEqual(['replica-2']);
    const probes = serve(harness, 50, slow).filter((replica) => replica === 'replica-2');
    expect(probes.length).toBeGreaterThan(0);
    expect(probes.length).toBeLessThan(10);
    serve(harness, 60, () => 100);
    expect(isConvicted()).toEqual([]);
  });

  it('convicts no more than a part, since then the cause is elsewhere', () => {
    const countConvicted = (maxConvicted: number) => {
      const harness = new Harness({ replicas: 6, slots: 50, options: { maxConvicted } });
      const slow = ['replica-1', 'replica-2'];
      serve(harness, 80, () => 100);
      serve(harness, 200, (replica) => (slow.includes(replica) ? 1000 : 100));
      const { replicas } = harness.scheduler.getSnapshot().services[0]!;
      return replicas.filter(({ convicted }) => convicted).length;
    };
    expect([countConvicted(1 / 3), countConvicted(1 / 6)]).toEqual([2, 1]);
  });

  it('sends the same prompt head to the same replica, up to a bound', () => {
    const harness = new Harness({ replicas: 8, slots: 50 });
    const heads = Array.from({ length: 12 }, (_, prefixHash) => prefixHash);
    const getReplica = (prefixHash: number) => {
      const { id, replica } = send(harness, { prefixHash });
      harness.end(id, AttemptStatus.Completed);
      return replica;
    };
    const first = heads.map(getReplica);
    expect(heads.map(getReplica)).toEqual(first);
    expect(new Set(first).size).toBeGreaterThan(4);
    const hot = Array.from({ length: 80 }, () => send(harness, { prefixHash: 3 }).replica);
    const most = hot.filter((replica) => replica === first[3]).length;
    expect(most).toBeLessThan(40);
  });

  it('goes where a model is held', () => {
    const harness = new Harness({ replicas: 0 });
    const placements = [['laaja@1'], ['nopea:kortti@2'], ['laaja@2', 'nopea:kortti@2']];
    const replicas = placements.map((placement, index) =>
      createReplica(`replica-${index}`, { placement, slots: 50 }),
    );
    harness.tell({ kind: 'replicas', replicas });
    const used = Array.from({ length: 30 }, (_, index) => {
      const request = createRequest(`nopea-${index}`, classes.chat, { model: 'nopea:kortti' });
      harness.submit(request);
      return harness.getDispatch(request.id).replica.id;
    });
    expect(new Set(used)).toEqual(new Set(['replica-1', 'replica-2']));
  });
});
