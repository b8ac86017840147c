import { createRandom, ManualClock } from '@apricotrill/utils';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { summarizeEffects, Harness } from '../../test/Harness.js';
import { AttemptStatus } from '../messages.js';
import { Scheduler } from './Scheduler.js';

describe('Scheduler', () => {
  it('queues, dispatches and completes requests', () => {
    const harness = new Harness({ slots: 1 });
    const { scheduler } = harness;
    ['first', 'second'].forEach((id) => harness.submit(createRequest(id, classes.draft)));
    expect(scheduler.getSnapshot()).toMatchObject({ waiting: 1, running: 1 });
    harness.progress('first');
    harness.endAttempt('first', AttemptStatus.Completed);
    expect(summarizeEffects(harness.effects)).toEqual([
      'dispatch first',
      'done first',
      'dispatch second',
    ]);
  });

  it('handles messages sent from within emit without recursion', () => {
    // Guards against a stack overflow when a replica refuses connections: each attempt ends
    // synchronously within its dispatch effect, and its end causes the next dispatch.
    const ended: string[] = [];
    const scheduler = new Scheduler({
      clock: new ManualClock(),
      random: createRandom(1),
      options: { maxWaitingPerClass: 10_000 },
      emit: ({ kind, id }) => {
        if (kind === 'dispatch' && id !== 'first') {
          scheduler.handle({ kind: 'attempt-ended', id, attempt: 1, end: AttemptStatus.Completed });
        } else if (kind === 'done') {
          ended.push(id);
        }
      },
    });
    const ids = ['first', ...Array.from({ length: 9999 }, (_, index) => `chat-${index}`)];
    scheduler.handle({ kind: 'replicas', replicas: [createReplica('replica-1', { slots: 1 })] });
    ids.forEach((id) =>
      scheduler.handle({ kind: 'submit', request: createRequest(id, classes.chat) }),
    );
    scheduler.handle({
      kind: 'attempt-ended',
      id: 'first',
      attempt: 1,
      end: AttemptStatus.Completed,
    });
    expect(ended).toEqual(ids);
  });
});
