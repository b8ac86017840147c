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

function start(create: (parts: SchedulerSettings) => Baseline) {
  const effects: SchedulerEffect[] = [];
  const baseline = create({
    clock: new ManualClock(),
    random: createRandom(1),
    emit: (effect) => effects.push(effect),
  });
  baseline.handle({ kind: 'replicas', replicas: REPLICAS });
  const submit = (id: string, name: keyof typeof classes) =>
    baseline.handle({ kind: 'submit', request: createRequest(id, classes[name]) });
  const end = (id: string, attempt: number, how: AttemptStatus) =>
    baseline.handle({ kind: 'attempt-ended', id, attempt, end: how });
  const getDispatches = () =>
    effects.filter((effect): effect is Dispatch => effect.kind === 'dispatch');
  return { baseline, effects, submit, end, getDispatches };
}

describe('baselines', () => {
  it('serve in order of arrival with the replicas in turn', () => {
    const { submit, end, getDispatches } = start(createFifoBaseline);
    ['a', 'b', 'c', 'd'].forEach((id) => submit(id, 'draft'));
    submit('e', 'gate');
    end('a', 1, AttemptStatus.Completed);
    end('b', 1, AttemptStatus.Completed);
    const dispatches = getDispatches();
    expect(dispatches.map(({ id }) => id)).toEqual(['a', 'b', 'c', 'd', 'e']);
    expect(dispatches.slice(0, 2).map(({ replica }) => replica.id)).toEqual([
      'replica-2',
      'replica-1',
    ]);
    expect(new Set(dispatches.map(({ priority }) => priority)).size).toBe(1);
  });

  it('send to the least outstanding replica', () => {
    const { submit, getDispatches } = start(createLeastOutstandingBaseline);
    ['a', 'b'].forEach((id) => submit(id, 'draft'));
    expect(new Set(getDispatches().map(({ replica }) => replica.id)).size).toBe(2);
  });

  it('serve the most urgent tier first', () => {
    const { submit, end, getDispatches } = start(createStrictPriorityBaseline);
    ['a', 'b', 'c', 'd'].forEach((id) => submit(id, 'draft'));
    submit('e', 'gate');
    end('a', 1, AttemptStatus.Completed);
    expect(getDispatches().at(-1)).toMatchObject({ id: 'e', priority: 0 });
  });

  it('go on at the delivered token, and never run twice what may not be repeated', () => {
    const { baseline, effects, submit, end, getDispatches } = start(createLeastOutstandingBaseline);
    submit('a', 'chat');
    baseline.handle({ kind: 'progress', id: 'a', attempt: 1, tokens: 5 });
    end('a', 1, AttemptStatus.Broken);
    expect(getDispatches().at(-1)).toMatchObject({ id: 'a', resumeAt: 5 });
    submit('b', 'hold');
    end('b', 1, AttemptStatus.Broken);
    expect(effects.at(-1)).toMatchObject({ kind: 'give-up', outcome: ExecutionOutcome.Unknown });
  });
});
