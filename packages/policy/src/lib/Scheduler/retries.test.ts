import { Harness } from '../../test/Harness.js';
import { classes, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, GiveUpReason, ExecutionOutcome } from '../messages.js';

function submit(harness: Harness, id: string, name: keyof typeof classes) {
  return harness.submit(createRequest(id, classes[name]));
}

describe('retries', () => {
  it('sends what did not run to another replica, also what may not be repeated', () => {
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'hold', 'hold');
    harness.end('hold', AttemptStatus.NotSent);
    harness.end('hold', AttemptStatus.Refused);
    const replicas = harness.getAll('dispatch').map(({ replica }) => replica.id);
    expect(new Set(replicas).size).toBe(3);
  });

  it('never runs twice what may not be repeated, and says that nobody knows', () => {
    // Symptom: a customer is charged twice. Sequence: the connection breaks after the payment
    // notice was sent, and it is sent elsewhere. Cause: a broken attempt counted as not run.
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'hold', 'hold');
    harness.end('hold', AttemptStatus.NotSent);
    expect(harness.end('hold', AttemptStatus.Broken)).toMatchObject([
      { kind: 'give-up', outcome: ExecutionOutcome.Unknown, reason: GiveUpReason.MayHaveRun },
    ]);
  });

  it('says not-run only if no attempt may have run', () => {
    // Symptom: a refused caller asks again and the request runs a second time. Sequence: one
    // attempt breaks, the others are refused. Cause: only the last attempt was looked at.
    const refuse = (first: AttemptStatus) => {
      const harness = new Harness({ replicas: 9 });
      submit(harness, 'report', 'report');
      harness.end('report', first);
      const ends = Array.from({ length: 3 }, () => harness.end('report', AttemptStatus.Refused));
      return ends.at(-1)![0];
    };
    const reason = GiveUpReason.RetriesSpent;
    expect(refuse(AttemptStatus.Refused)).toMatchObject({
      reason,
      outcome: ExecutionOutcome.NotRun,
    });
    expect(refuse(AttemptStatus.Broken)).toMatchObject({
      reason,
      outcome: ExecutionOutcome.Failed,
    });
  });

  it('goes on at the delivered token, and drops word of an earlier attempt', () => {
    // Symptom: the caller gets a token twice. Sequence: the stream breaks, goes on elsewhere, and
    // late word of the first attempt counts for the second. Cause: messages were told apart by
    // request alone.
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'chat', 'chat');
    harness.progress('chat', 5);
    harness.end('chat', AttemptStatus.Broken);
    harness.tell({ kind: 'progress', id: 'chat', attempt: 1, tokens: 7 });
    const late = { kind: 'attempt-ended' as const, id: 'chat', attempt: 1 };
    expect(harness.tell({ ...late, end: AttemptStatus.Completed })).toEqual([]);
    harness.progress('chat', 2);
    harness.end('chat', AttemptStatus.Broken);
    expect(harness.getAll('dispatch').map(({ resumeAt }) => resumeAt)).toEqual([0, 5, 7]);
  });

  it('does not begin an answer twice that cannot be resumed', () => {
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'report', 'report');
    harness.progress('report');
    expect(harness.end('report', AttemptStatus.Broken)).toMatchObject([
      { kind: 'give-up', outcome: ExecutionOutcome.Failed },
    ]);
  });

  it('does not repeat what a replica ran and failed', () => {
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'chat', 'chat');
    expect(harness.end('chat', AttemptStatus.Errored)).toMatchObject([
      { kind: 'give-up', outcome: ExecutionOutcome.Failed, reason: GiveUpReason.ReplicaFailed },
    ]);
  });

  it('does not multiply the load of a service that fails', () => {
    // Symptom: a service that breaks gets four times its load. Sequence: all its answers break,
    // and each is tried again. Cause: no budget over all requests together.
    const options = { retryBurst: 5, retryReserve: 0, retryTrickle: 0 };
    const harness = new Harness({ replicas: 9, options });
    for (let index = 0; index < 40; index += 1) {
      submit(harness, `chat-${index}`, 'chat');
      while (!harness.getAll('give-up').some(({ id }) => id === `chat-${index}`)) {
        harness.end(`chat-${index}`, AttemptStatus.Broken);
        harness.advance(100);
      }
    }
    expect(harness.getAll('dispatch').length).toBe(45);
  });

  it('comes back to a replica that failed it when there is no other, after a pause', () => {
    const harness = new Harness({ replicas: 1 });
    submit(harness, 'chat', 'chat');
    expect(harness.end('chat', AttemptStatus.NotSent)).toEqual([]);
    expect(harness.advance(49)).toEqual([]);
    expect(harness.advance(2000)).toMatchObject([{ kind: 'dispatch', attempt: 2 }]);
  });

  it('is not waiting for a slot when only replicas that failed it have one', () => {
    // Symptom: one request that was refused holds up all behind it. Cause: the head of the queue
    // waits for a replica that it may use, and nobody passes it.
    const harness = new Harness({ replicas: 1, slots: 1 });
    submit(harness, 'first', 'chat');
    submit(harness, 'second', 'chat');
    expect(harness.end('first', AttemptStatus.Refused, 10)).toMatchObject([
      { kind: 'dispatch', id: 'second' },
    ]);
  });
});
