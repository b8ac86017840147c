import { CoreHarness } from '../../../test/CoreHarness.js';
import { createReplica, createRequest, createService } from '../../../test/fixtures.js';
import { AttemptEnd, GiveUpReason, Outcome } from '../messages.js';

describe('a waiting request whose attempt fails to be sent by an unexpected error', () => {
  const replicas = [createReplica('i-1', { slots: 1 })];

  /** Lets requests wait for the only slot, and the first of them fail once it is free. */
  function run(): CoreHarness {
    const harness = new CoreHarness([createService('app')], replicas);
    ['running', 'failing', 'next', 'last'].forEach((id) =>
      harness.submit(createRequest(id, { deadline: 5_000 })),
    );
    expect(harness.getEffects('send').map(({ id }) => id)).toEqual(['running']);
    harness.failingRequest = 'failing';
    harness.end('running', 1, AttemptEnd.Completed);
    return harness;
  }

  // Guards against requests that are forgotten until their deadline because one before them fails.
  it('ends alone, and the others go on', () => {
    const harness = run();
    expect(harness.getEffects('settle')).toEqual([{ kind: 'settle', id: 'running', attempt: 1 }]);
    expect(harness.getEffects('give-up')).toMatchObject([
      { id: 'failing', outcome: Outcome.Unknown, reason: GiveUpReason.Failed },
    ]);
    expect(harness.getEffects('send').map(({ id }) => id)).toEqual(['running', 'next']);
    harness.end('next', 1, AttemptEnd.Completed);
    harness.end('last', 1, AttemptEnd.Completed);
    expect(harness.getEffects('settle').map(({ id }) => id)).toEqual(['running', 'next', 'last']);
    expect(harness.core.openRequests).toBe(0);
  });

  it('is reported with its error', () => {
    expect(run().getEffects('fault')).toEqual([
      { kind: 'fault', id: 'failing', step: 'place a request', error: expect.any(Error) },
    ]);
  });
});
