import { summarizeEffects, Harness } from '../../test/Harness.js';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, GiveUpReason, ExecutionOutcome } from '../messages.js';

const NOT_RUN = { kind: 'give-up', outcome: ExecutionOutcome.NotRun };

/** Completes the last dispatched request once a second, so that the queue drains at that rate. */
function serveOnePerSecond(harness: Harness, count: number): void {
  for (let index = 0; index < count; index += 1) {
    harness.advance(1000);
    harness.endAttempt(harness.getEffects('dispatch').at(-1)!.id, AttemptStatus.Completed);
  }
}

describe('admission', () => {
  it('evicts the least urgent waiting request and never an urgent one in its place', () => {
    // Guards against refusing an urgent request because less urgent ones have filled the queue.
    const harness = new Harness({
      slots: 1,
      options: { maxWaitingPerClass: 2, overcommitRatio: 0 },
    });
    ['running', 'draft-1', 'draft-2', 'draft-3'].forEach((id) =>
      harness.submit(createRequest(id, classes.draft)),
    );
    expect(harness.getEffects('give-up')).toMatchObject([
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

  it('refuses early on an estimate of the wait, except for urgent tiers', () => {
    // Guards against callers that wait ten seconds only to be refused at their deadline: the class
    // drains one request per second while thirty are waiting.
    const getRefusals = (name: 'report' | 'hold') => {
      const harness = new Harness({ slots: 1, options: { overcommitRatio: 0 } });
      const submit = (id: string) => harness.submit(createRequest(id, classes[name]));
      Array.from({ length: 12 }, (_, index) => submit(`early-${index}`));
      serveOnePerSecond(harness, 4);
      Array.from({ length: 30 }, (_, index) => submit(`more-${index}`));
      return harness.getEffects('give-up');
    };
    const refused = getRefusals('report');
    expect(refused[0]).toMatchObject({ ...NOT_RUN, reason: GiveUpReason.Deadline });
    expect(refused.at(-1)!.retryAfter).toBeGreaterThan(500);
    expect(getRefusals('hold')).toEqual([]);
  });

  it('gives up requests that have not started by their deadline, urgent ones included', () => {
    const harness = new Harness({ slots: 1, options: { overcommitRatio: 0 } });
    harness.submit(createRequest('hold', classes.hold));
    harness.submit(createRequest('next', classes.hold));
    harness.submit(createRequest('last', classes.hold));
    harness.progress('hold');
    harness.advance(9_999);
    expect(harness.getEffects('give-up')).toEqual([]);
    expect(harness.advance(1)).toMatchObject([
      { ...NOT_RUN, id: 'last', reason: GiveUpReason.Deadline },
    ]);
  });

  it('refuses requests without live replicas or during a drain, and finishes accepted ones', () => {
    const harness = new Harness({ replicas: 0 });
    const submit = (id: string) => harness.submit(createRequest(id, classes.chat));
    expect(submit('a')).toMatchObject([{ ...NOT_RUN, reason: GiveUpReason.NoReplica }]);
    harness.send({ kind: 'replicas', replicas: [createReplica('replica-1', { slots: 1 })] });
    submit('b');
    submit('c');
    harness.send({ kind: 'drain' });
    expect(submit('d')).toMatchObject([{ ...NOT_RUN, reason: GiveUpReason.Draining }]);
    expect(summarizeEffects(harness.endAttempt('b', AttemptStatus.Completed))).toEqual([
      'done b',
      'dispatch c',
    ]);
    expect(summarizeEffects(harness.endAttempt('c', AttemptStatus.Completed))).toEqual(['done c']);
  });

  it('cancels the attempt of a caller that disconnects, and removes its request in any phase', () => {
    const harness = new Harness({ slots: 1 });
    ['running', 'waiting', 'next'].forEach((id) =>
      harness.submit(createRequest(id, classes.draft)),
    );
    harness.send({ kind: 'caller-left', id: 'waiting' });
    const effects = harness.send({ kind: 'caller-left', id: 'running' });
    expect(summarizeEffects(effects)).toEqual(['cancel running', 'dispatch next']);
    harness.send({ kind: 'caller-left', id: 'next' });
    expect(harness.scheduler.getSnapshot()).toMatchObject({ waiting: 0, running: 0 });
    expect(harness.advance(600_000)).toEqual([]);
  });

  it('reserves slots for preempting tiers while requests of both kinds arrive', () => {
    // Guards against short requests that wait because drafts fill every slot.
    const harness = new Harness({
      slots: 10,
      options: { reservedSlotRatio: 0.2, reserveRetention: 99 },
    });
    const submit = (id: string, name: keyof typeof classes) =>
      harness.submit(createRequest(id, classes[name]));
    submit('chat', 'chat');
    harness.endAttempt('chat', AttemptStatus.Completed);
    for (let index = 0; index < 10; index += 1) {
      submit(`draft-${index}`, 'draft');
    }
    expect(harness.scheduler.getSnapshot()).toMatchObject({ running: 8, waiting: 2 });
    ['chat-1', 'chat-2'].forEach((id) =>
      expect(summarizeEffects(submit(id, 'chat'))).toEqual([`dispatch ${id}`]),
    );
    ['chat-1', 'chat-2'].forEach((id) => harness.endAttempt(id, AttemptStatus.Completed));
    expect(harness.scheduler.getSnapshot()).toMatchObject({ running: 8 });
    harness.advance(100);
    submit('draft-10', 'draft');
    expect(harness.scheduler.getSnapshot()).toMatchObject({ running: 10 });
  });

  it('lets each daemon run one request when there are more daemons than slots', () => {
    // Guards against callers that wait forever: the only slot is the share of one of three daemons,
    // and the shares of the other two are empty.
    const daemons = ['daemon-1', 'daemon-2', 'daemon-3'];
    const running = daemons.map((self) => {
      const harness = new Harness({ slots: 1 });
      harness.send({ kind: 'daemons', self, daemons });
      ['a', 'b'].forEach((id) => harness.submit(createRequest(id, classes.draft)));
      return harness.scheduler.getSnapshot().running;
    });
    expect(running).toEqual([1, 1, 1]);
  });

  it('runs a starving class above the share, with the priority of the tier it overtakes', () => {
    // Guards against a class that never runs while urgent requests fill the replicas above the
    // share. The floor must apply to slots as well as to the queue, and at the engine the draft must
    // not be queued behind the urgent requests.
    const harness = new Harness({ slots: 4, options: { overcommitRatio: 1 } });
    harness.submit(createRequest('draft', { ...classes.draft, floor: 0.2 }));
    for (let index = 0; index < 4; index += 1) {
      harness.submit(createRequest(`gate-${index}`, classes.gate));
    }
    harness.endAttempt('draft', AttemptStatus.Completed);
    harness.submit(createRequest('gate-4', classes.gate));
    harness.submit(createRequest('starving', { ...classes.draft, floor: 0.2 }));
    let next = 5;
    while (!summarizeEffects(harness.effects).includes('dispatch starving') && next < 12) {
      harness.submit(createRequest(`gate-${next}`, classes.gate));
      next += 1;
      harness.endAttempt(`gate-${next - 6}`, AttemptStatus.Completed);
    }
    expect(harness.getDispatch('starving')).toMatchObject({ priority: 0, reason: 'floor' });
  });
});
