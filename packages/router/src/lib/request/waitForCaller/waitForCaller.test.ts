import { AttemptStatus, Scheduler } from '@apricotrill/policy';
import type { ScheduledRequest, SchedulerEffect } from '@apricotrill/policy';
import type { Replica } from '@apricotrill/model';
import { ManualClock, createRandom } from '@apricotrill/utils';
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { defaultRouterOptions } from '../../options.js';
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

/** A response whose send buffer is full. */
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
      interval: 1000,
      onWaiting: () => progress(0),
    });
    return { clock, effects, scheduler, response, wait };
  }

  // Guards against a caller on a slow connection losing its response after a few seconds: it reads
  // slower than the engine writes, so the daemon stops reading, and the scheduler would take the
  // missing progress reports for a silent engine once the longest inter-token pause is over.
  it('keeps the scheduler from treating a slow caller as a silent engine', async () => {
    const { clock, effects, scheduler, response, wait } = start();
    clock.advance(defaultRouterOptions.callerStallTimeout - 1);
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

  // Guards against an unbounded wait for a caller that stops reading but keeps its connection open:
  // such responses would fill up the engine's slots and keep a daemon from shutting down.
  it('disconnects a caller that has read nothing within the timeout', async () => {
    const { clock, response, wait } = start();
    clock.advance(defaultRouterOptions.callerStallTimeout);
    await wait;
    expect(response.destroyed).toBe(true);
    expect(response.listenerCount('drain')).toBe(0);
  });
});
