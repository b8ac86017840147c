import { createRandom, ManualClock } from '@apricotrill/utils';
import { classes, createReplica, createRequest } from '../../test/fixtures.js';
import { AttemptStatus, ExecutionOutcome } from '../messages.js';
import type { SchedulerEffect } from '../messages.js';
import type { SchedulerSettings } from '../Scheduler/Scheduler.js';
import type { Baseline } from './Baseline.js';
import {
  createFifoBaseline,
  createLeastOutstandingBaseline,
  createStrictPriorityBaseline,
} from './createBaselines.js';

type Dispatch = Extract<SchedulerEffect, { kind: 'dispatch' }>;

const REPLICAS = [createReplica('replica-1'), createReplica('replica-2', { slots: 1 })];

function createHarness(create: (settings: SchedulerSettings) => Baseline) {
  const effects: SchedulerEffect[] = [];
  const baseline = create({
    clock: new ManualClock(),
    random: createRandom(1),
    emit: (effect) => effects.push(effect),
  });
  baseline.handle({ kind: 'replicas', replicas: REPLICAS });
  const submit = (id: string, name: keyof typeof classes) =>
    baseline.handle({ kind: 'submit', request: createRequest(id, classes[name]) });
  const endAttempt = (id: string, attempt: number, status: AttemptStatus) =>
    baseline.handle({ kind: 'attempt-ended', id, attempt, end: status });
  const getDispatches = () =>
    effects.filter((effect): effect is Dispatch => effect.kind === 'dispatch');
  return { baseline, effects, submit, endAttempt, getDispatches };
}

describe('baselines', () => {
  it('serve in order of arrival and use the replicas in turn', () => {
    const { submit, endAttempt, getDispatches } = createHarness(createFifoBaseline);
    ['a', 'b', 'c', 'd'].forEach((id) => submit(id, 'draft'));
    submit('e', 'gate');
    endAttempt('a', 1, AttemptStatus.Completed);
    endAttempt('b', 1, AttemptStatus.Completed);
    const dispatches = getDispatches();
    expect(dispatches.map(({ id }) => id)).toEqual(['a', 'b', 'c', 'd', 'e']);
    expect(dispatches.slice(0, 2).map(({ replica }) => replica.id)).toEqual([
      'replica-2',
      'replica-1',
    ]);
    expect(new Set(dispatches.map(({ priority }) => priority)).size).toBe(1);
  });

  it('send to the replica with the fewest outstanding requests', () => {
    const { submit, getDispatches } = createHarness(createLeastOutstandingBaseline);
    ['a', 'b'].forEach((id) => submit(id, 'draft'));
    expect(new Set(getDispatches().map(({ replica }) => replica.id)).size).toBe(2);
  });

  it('serve the most urgent tier first', () => {
    const { submit, endAttempt, getDispatches } = createHarness(createStrictPriorityBaseline);
    ['a', 'b', 'c', 'd'].forEach((id) => submit(id, 'draft'));
    submit('e', 'gate');
    endAttempt('a', 1, AttemptStatus.Completed);
    expect(getDispatches().at(-1)).toMatchObject({ id: 'e', priority: 0 });
  });

  it('resume after the last delivered token and never repeat unrepeatable requests', () => {
    const { baseline, effects, submit, endAttempt, getDispatches } = createHarness(
      createLeastOutstandingBaseline,
    );
    submit('a', 'chat');
    baseline.handle({ kind: 'progress', id: 'a', attempt: 1, tokens: 5 });
    endAttempt('a', 1, AttemptStatus.Broken);
    expect(getDispatches().at(-1)).toMatchObject({ id: 'a', resumeAt: 5 });
    submit('b', 'hold');
    endAttempt('b', 1, AttemptStatus.Broken);
    expect(effects.at(-1)).toMatchObject({ kind: 'give-up', outcome: ExecutionOutcome.Unknown });
  });
});
