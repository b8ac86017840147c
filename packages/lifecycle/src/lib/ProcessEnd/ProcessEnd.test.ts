import type { EndReason } from '../EndReason.js';
import type { LifecycleEvent } from '../LifecycleEvent.js';
import { ProcessEnd } from './ProcessEnd.js';

describe('ProcessEnd', () => {
  let steps: (string | number | LifecycleEvent)[];

  let end: ProcessEnd;

  const flush = async () => {
    await Promise.resolve();
    steps.push('flush');
  };

  function create(flushLog: () => Promise<void>): ProcessEnd {
    return new ProcessEnd({
      flush: flushLog,
      writeLast: (event) => steps.push(event),
      getOpenRequests: () => 3,
      getUptime: () => 1_500,
      getMemory: () => ({ rss: 100, heapUsed: 50 }),
      exit: (code) => steps.push(code),
    });
  }

  beforeEach(() => {
    steps = [];
    end = create(flush);
  });

  it('flushes the log, writes the last line and exits', async () => {
    await end.end({ reason: 'stopped', signal: 'SIGTERM' });
    expect(steps).toEqual([
      'flush',
      {
        event: 'ended',
        reason: 'stopped',
        signal: 'SIGTERM',
        code: 0,
        uptime: 1_500,
        rss: 100,
        heap: 50,
        open: 3,
      },
      0,
    ]);
  });

  it('counts the first reason alone, and writes one line', async () => {
    const first = end.end({ reason: 'invalid-settings', error: 'zone' });
    await end.end({ reason: 'stopped', signal: 'SIGTERM' });
    await first;
    end.handleExit(2);
    expect(steps).toMatchObject(['flush', { reason: 'invalid-settings' }, 2]);
  });

  it('states that a process exits for no reason that is known, or before its log is flushed', () => {
    end.handleExit(13);
    expect(steps).toMatchObject([{ reason: 'unexpected', code: 13 }]);
    const other = create(() => new Promise(() => {}));
    other.end({ reason: 'fault', error: 'x' }).catch(() => undefined);
    other.handleExit(70);
    expect(steps.at(-1)).toMatchObject({ reason: 'fault', code: 70 });
  });

  // Guards against a process that goes on since its log can't be written.
  it('exits if the log can not be flushed', async () => {
    end = create(() => Promise.reject(new Error('closed')));
    await end.end({ reason: 'start-failed', error: 'x' });
    expect(steps).toMatchObject([{ event: 'ended' }, 1]);
  });

  it.each<[EndReason, number]>([
    [{ reason: 'stopped', signal: 'SIGINT' }, 0],
    [{ reason: 'stop-failed', signal: 'SIGTERM', error: '' }, 1],
    [{ reason: 'start-failed', error: '' }, 1],
    [{ reason: 'invalid-settings', error: '' }, 2],
    [{ reason: 'fault', error: '' }, 70],
  ])('has an exit code for each reason: %j', async (reason, code) => {
    await end.end(reason);
    expect(steps.at(-1)).toBe(code);
  });
});
