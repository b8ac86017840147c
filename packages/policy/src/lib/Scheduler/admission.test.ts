import { getBrief, Harness } from '../../test/Harness.js';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, GiveUpReason, ExecutionOutcome } from '../messages.js';

const NOT_RUN = { kind: 'give-up', outcome: ExecutionOutcome.NotRun };

/** Draws out a queue: one request of the class is served every second. */
function serveSlowly(harness: Harness, count: number): void {
  for (let index = 0; index < count; index += 1) {
    harness.advance(1000);
    harness.end(harness.getAll('dispatch').at(-1)!.id, AttemptStatus.Completed);
  }
}

describe('admission', () => {
  it('sheds the least urgent that waits, never an urgent request for it', () => {
    // Symptom: a gate keypad is refused while drafts wait. Sequence: drafts fill the queue, then a
    // gate check comes. Cause: whoever comes to a full queue is refused.
    const harness = new Harness({ slots: 1, options: { maxWaitingPerClass: 2, excess: 0 } });
    ['running', 'draft-1', 'draft-2', 'draft-3'].forEach((id) =>
      harness.submit(createRequest(id, classes.draft)),
    );
    expect(harness.getAll('give-up')).toMatchObject([
      { id: 'draft-3', reason: GiveUpReason.Overload, outcome: ExecutionOutcome.NotRun },
    ]);
    ['hold-1', 'hold-2', 'hold-3', 'hold-4'].forEach((id) =>
      harness.submit(createRequest(id, classes.hold)),
    );
    expect(harness.submit(createRequest('hold-5', classes.hold))).toMatchObject([
      { ...NOT_RUN, id: 'draft-2', reason: GiveUpReason.Overload },
    ]);
    harness.submit(createRequest('hold-6', classes.hold));
    expect(harness.submit(createRequest('hold-7', classes.hold))).toMatchObject([
      { ...NOT_RUN, id: 'hold-7' },
    ]);
  });

  it('refuses at once what would wait past its deadline, but nothing urgent on an estimate', () => {
    // Symptom: callers wait ten seconds to be refused. Sequence: a class drains one request a
    // second and thirty wait. Cause: refusal only when the deadline has come.
    const comeLate = (name: 'report' | 'hold') => {
      const harness = new Harness({ slots: 1, options: { excess: 0 } });
      const submit = (id: string) => harness.submit(createRequest(id, classes[name]));
      Array.from({ length: 12 }, (_, index) => submit(`early-${index}`));
      serveSlowly(harness, 4);
      Array.from({ length: 30 }, (_, index) => submit(`more-${index}`));
      return harness.getAll('give-up');
    };
    const refused = comeLate('report');
    expect(refused[0]).toMatchObject({ ...NOT_RUN, reason: GiveUpReason.Deadline });
    expect(refused.at(-1)!.retryAfter).toBeGreaterThan(500);
    expect(comeLate('hold')).toEqual([]);
  });

  it('gives up what has not started by its deadline, urgent or not', () => {
    const harness = new Harness({ slots: 1, options: { excess: 0 } });
    harness.submit(createRequest('hold', classes.hold));
    harness.submit(createRequest('next', classes.hold));
    harness.submit(createRequest('last', classes.hold));
    harness.progress('hold');
    harness.advance(9_999);
    expect(harness.getAll('give-up')).toEqual([]);
    expect(harness.advance(1)).toMatchObject([
      { ...NOT_RUN, id: 'last', reason: GiveUpReason.Deadline },
    ]);
  });

  it('refuses while no replica is live, and what comes after a drain; finishes the rest', () => {
    const harness = new Harness({ replicas: 0 });
    const submit = (id: string) => harness.submit(createRequest(id, classes.chat));
    expect(submit('a')).toMatchObject([{ ...NOT_RUN, reason: GiveUpReason.NoReplica }]);
    harness.tell({ kind: 'replicas', replicas: [createReplica('replica-1', { slots: 1 })] });
    submit('b');
    submit('c');
    harness.tell({ kind: 'drain' });
    expect(submit('d')).toMatchObject([{ ...NOT_RUN, reason: GiveUpReason.Draining }]);
    expect(getBrief(harness.end('b', AttemptStatus.Completed))).toEqual(['done b', 'dispatch c']);
    expect(getBrief(harness.end('c', AttemptStatus.Completed))).toEqual(['done c']);
  });

  it('cancels upstream for a caller that leaves and forgets it wherever it is', () => {
    const harness = new Harness({ slots: 1 });
    ['running', 'waiting', 'next'].forEach((id) =>
      harness.submit(createRequest(id, classes.draft)),
    );
    harness.tell({ kind: 'caller-left', id: 'waiting' });
    const effects = harness.tell({ kind: 'caller-left', id: 'running' });
    expect(getBrief(effects)).toEqual(['cancel running', 'dispatch next']);
    harness.tell({ kind: 'caller-left', id: 'next' });
    expect(harness.scheduler.getSnapshot()).toMatchObject({ waiting: 0, running: 0 });
    expect(harness.advance(600_000)).toEqual([]);
  });

  it('keeps slots free for quick answers while both kinds come', () => {
    // Symptom: short questions wait behind drafts that fill every slot. Cause: nothing was kept free.
    const harness = new Harness({ slots: 10, options: { reserve: 0.2, reserveMemory: 99 } });
    const submit = (id: string, name: keyof typeof classes) =>
      harness.submit(createRequest(id, classes[name]));
    submit('chat', 'chat');
    harness.end('chat', AttemptStatus.Completed);
    for (let index = 0; index < 10; index += 1) {
      submit(`draft-${index}`, 'draft');
    }
    expect(harness.scheduler.getSnapshot()).toMatchObject({ running: 8, waiting: 2 });
    ['chat-1', 'chat-2'].forEach((id) =>
      expect(getBrief(submit(id, 'chat'))).toEqual([`dispatch ${id}`]),
    );
    ['chat-1', 'chat-2'].forEach((id) => harness.end(id, AttemptStatus.Completed));
    expect(harness.scheduler.getSnapshot()).toMatchObject({ running: 8 });
    harness.advance(100);
    submit('draft-10', 'draft');
    expect(harness.scheduler.getSnapshot()).toMatchObject({ running: 10 });
  });

  it('runs one request at a time where daemons outnumber the slots', () => {
    // Symptom: the callers of some daemons wait for ever. Cause: a replica with one slot gives it
    // to one of three daemons, and the others have no share of anything.
    const daemons = ['daemon-1', 'daemon-2', 'daemon-3'];
    const running = daemons.map((self) => {
      const harness = new Harness({ slots: 1 });
      harness.tell({ kind: 'daemons', self, daemons });
      ['a', 'b'].forEach((id) => harness.submit(createRequest(id, classes.draft)));
      return harness.scheduler.getSnapshot().running;
    });
    expect(running).toEqual([1, 1, 1]);
  });

  it('runs a starving class above the share, as urgent as what it goes before', () => {
    // Symptom: no draft runs for as long as gate checks fill the replicas. Sequence: gate checks
    // hold all slots and go above the share; drafts find no room within it. Cause: only the queue
    // kept the floor, and the draft's place at the engine was behind the gate checks.
    const harness = new Harness({ slots: 4, options: { excess: 1 } });
    harness.submit(createRequest('draft', { ...classes.draft, floor: 0.2 }));
    for (let index = 0; index < 4; index += 1) {
      harness.submit(createRequest(`gate-${index}`, classes.gate));
    }
    harness.end('draft', AttemptStatus.Completed);
    harness.submit(createRequest('gate-4', classes.gate));
    harness.submit(createRequest('starving', { ...classes.draft, floor: 0.2 }));
    let next = 5;
    while (!getBrief(harness.effects).includes('dispatch starving') && next < 12) {
      harness.submit(createRequest(`gate-${next}`, classes.gate));
      next += 1;
      harness.end(`gate-${next - 6}`, AttemptStatus.Completed);
    }
    expect(harness.getDispatch('starving')).toMatchObject({ priority: 0, reason: 'floor' });
  });
});
