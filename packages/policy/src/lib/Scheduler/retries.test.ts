import { Harness } from '../../test/Harness.js';
import { classes, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, GiveUpReason, ExecutionOutcome } from '../messages.js';

function submit(harness: Harness, id: string, name: keyof typeof classes) {
  return harness.submit(createRequest(id, classes[name]));
}

describe('retries', () => {
  it('retries a request that did not run at another replica, even if it is not repeatable', () => {
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'hold', 'hold');
    harness.endAttempt('hold', AttemptStatus.NotSent);
    harness.endAttempt('hold', AttemptStatus.Refused);
    const replicas = harness.getEffects('dispatch').map(({ replica }) => replica.id);
    expect(new Set(replicas).size).toBe(3);
  });

  it('never reruns a request that is not repeatable, and reports an unknown outcome', () => {
    // Guards against charging a customer twice: the connection breaks after a payment request was
    // sent, so it may have run and must not be sent to another replica.
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'hold', 'hold');
    harness.endAttempt('hold', AttemptStatus.NotSent);
    expect(harness.endAttempt('hold', AttemptStatus.Broken)).toMatchObject([
      { kind: 'give-up', outcome: ExecutionOutcome.Unknown, reason: GiveUpReason.MayHaveRun },
    ]);
  });

  it('reports not-run only if no attempt may have run', () => {
    // Guards against running a request twice: one attempt breaks and the later ones are refused. A
    // not-run outcome based on the last attempt alone would make the caller retry.
    const getLastEffect = (first: AttemptStatus) => {
      const harness = new Harness({ replicas: 9 });
      submit(harness, 'report', 'report');
      harness.endAttempt('report', first);
      const ends = Array.from({ length: 3 }, () =>
        harness.endAttempt('report', AttemptStatus.Refused),
      );
      return ends.at(-1)![0];
    };
    const reason = GiveUpReason.RetriesSpent;
    expect(getLastEffect(AttemptStatus.Refused)).toMatchObject({
      reason,
      outcome: ExecutionOutcome.NotRun,
    });
    expect(getLastEffect(AttemptStatus.Broken)).toMatchObject({
      reason,
      outcome: ExecutionOutcome.Failed,
    });
  });

  it('resumes after the last delivered token and ignores messages of earlier attempts', () => {
    // Guards against delivering a token twice: a stream breaks and continues elsewhere, and late
    // messages of the first attempt must not be attributed to the second.
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'chat', 'chat');
    harness.progress('chat', 5);
    harness.endAttempt('chat', AttemptStatus.Broken);
    harness.send({ kind: 'progress', id: 'chat', attempt: 1, tokens: 7 });
    const lateMessage = { kind: 'attempt-ended' as const, id: 'chat', attempt: 1 };
    expect(harness.send({ ...lateMessage, end: AttemptStatus.Completed })).toEqual([]);
    harness.progress('chat', 2);
    harness.endAttempt('chat', AttemptStatus.Broken);
    expect(harness.getEffects('dispatch').map(({ resumeAt }) => resumeAt)).toEqual([0, 5, 7]);
  });

  it('does not restart a response that cannot be resumed', () => {
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'report', 'report');
    harness.progress('report');
    expect(harness.endAttempt('report', AttemptStatus.Broken)).toMatchObject([
      { kind: 'give-up', outcome: ExecutionOutcome.Failed },
    ]);
  });

  it('does not retry a request that ran and failed', () => {
    const harness = new Harness({ replicas: 3 });
    submit(harness, 'chat', 'chat');
    expect(harness.endAttempt('chat', AttemptStatus.Errored)).toMatchObject([
      { kind: 'give-up', outcome: ExecutionOutcome.Failed, reason: GiveUpReason.ReplicaFailed },
    ]);
  });

  it('does not multiply the load of a failing service', () => {
    // Guards against four times the load on a failing service: every response breaks, and without a
    // common retry budget each request would be retried separately.
    const options = { retryBurst: 5, urgentRetryShare: 0, minRetriesPerSecond: 0 };
    const harness = new Harness({ replicas: 9, options });
    for (let index = 0; index < 40; index += 1) {
      submit(harness, `chat-${index}`, 'chat');
      while (!harness.getEffects('give-up').some(({ id }) => id === `chat-${index}`)) {
        harness.endAttempt(`chat-${index}`, AttemptStatus.Broken);
        harness.advance(100);
      }
    }
    expect(harness.getEffects('dispatch').length).toBe(45);
  });

  it('retries at the replica that failed a request after a backoff if there is no other', () => {
    const harness = new Harness({ replicas: 1 });
    submit(harness, 'chat', 'chat');
    expect(harness.endAttempt('chat', AttemptStatus.NotSent)).toEqual([]);
    expect(harness.advance(49)).toEqual([]);
    expect(harness.advance(2000)).toMatchObject([{ kind: 'dispatch', attempt: 2 }]);
  });

  it('does not block the queue when only replicas that failed the request have free slots', () => {
    // Guards against a refused request that blocks all requests behind it while it waits at the head
    // of the queue for another replica.
    const harness = new Harness({ replicas: 1, slots: 1 });
    submit(harness, 'first', 'chat');
    submit(harness, 'second', 'chat');
    expect(harness.endAttempt('first', AttemptStatus.Refused, 10)).toMatchObject([
      { kind: 'dispatch', id: 'second' },
    ]);
  });
});
