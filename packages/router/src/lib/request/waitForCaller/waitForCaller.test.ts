import { AttemptStatus, Scheduler } from '@apricotrill/policy';
import type { ScheduledRequest, SchedulerEffect } from '@apricotrill/policy';
import type { Replica } from '@apricotrill/model';
import { ManualClock, createRandom } from '@apricotrill/utils';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { routerOptions } from '../../options.js';
import { waitForCaller } from './waitForCaller.js';

const REPLICA = {
  id: 'engine-1',
  service: 'engines',
  slots: 4,
  placement: [] as string[],
} as Replica;

const REQUEST = {
  id: 'request',
  service: 'engines',
  workspace: 'painotalo',
  workspaceWeight: 1,
  resumable: true,
  arrivedAt: 0,
  serviceClass: {
    name: 'draft',
    tier: 4,
    target: { firstToken: 1000, tokenGap: 50 },
    deadline: 10_000,
    floor: 0,
    preemptible: true,
    repeatable: true,
  },
} as ScheduledRequest;

/** A caller's connection whose buffers are full. */
class FullResponse extends EventEmitter {
  destroyed = false;

  destroy(): void {
    this.destroyed = true;
    this.emit('close');
  }
}

describe('waitForCaller', () => {
  function start() {
    const clock = new ManualClock();
    const effects: SchedulerEffect[] = [];
    const scheduler = new Scheduler({
      clock,
      random: createRandom(1),
      emit: (effect) => effects.push(effect),
    });
    scheduler.handle({ kind: 'daemons', self: 'one', daemons: ['one'] });
    scheduler.handle({ kind: 'replicas', replicas: [REPLICA] });
    scheduler.handle({ kind: 'submit', request: REQUEST });
    const progress = (tokens: number) =>
      scheduler.handle({ kind: 'progress', id: 'request', attempt: 1, tokens });
    progress(1);
    const response = new FullResponse();
    const wait = waitForCaller({
      response: response as unknown as ServerResponse,
      clock,
      beat: 1000,
      onBeat: () => progress(0),
    });
    return { clock, effects, scheduler, response, wait };
  }

  // Symptom: a caller on a slow line loses its answer after a few seconds. Sequence: it reads
  // slower than the engine writes, the daemon stops reading, the scheduler hears of no token for
  // longer than a gap may last. Cause: the caller's pause was taken for the engine's silence.
  it('keeps the scheduler from taking the wait for silence', async () => {
    const { clock, effects, scheduler, response, wait } = start();
    clock.advance(routerOptions.callerStall - 1);
    response.emit('drain');
    await wait;
    scheduler.handle({
      kind: 'attempt-ended',
      id: 'request',
      attempt: 1,
      end: AttemptStatus.Completed,
    });
    expect(effects.map(({ kind }) => kind)).toEqual(['dispatch', 'done']);
    expect(response.destroyed).toBe(false);
  });

  // Symptom: an engine's slots fill up with answers nobody reads, and a daemon never comes to the
  // end of its shutdown. Sequence: a caller stops reading and keeps its connection. Cause: a wait
  // without an end.
  it('takes a caller that reads nothing for long for gone', async () => {
    const { clock, response, wait } = start();
    clock.advance(routerOptions.callerStall);
    await wait;
    expect(response.destroyed).toBe(true);
    expect(response.listenerCount('drain')).toBe(0);
  });
});
