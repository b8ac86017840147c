import { ManualClock, createRandom } from '@apricotrill/utils';
import { createProcessRandom } from '../createProcessRandom.js';
import { FaultHandler } from './FaultHandler.js';
import { faultOptions } from './getFaultAction.js';

describe('FaultHandler', () => {
  let clock: ManualClock;

  let steps: unknown[];

  let hasStarted: boolean;

  let peerCount: number;

  let faults: FaultHandler;

  const create = (record: (error: unknown, origin: string) => void) =>
    new FaultHandler({
      clock,
      random: createRandom(1),
      hasStarted: () => hasStarted,
      getUptime: () => faultOptions.minUptime,
      countPeers: () => peerCount,
      record,
      shutDown: (error) => steps.push(`shut down: ${String(error)}`),
      end: (error) => steps.push(`end: ${String(error)}`),
    });

  function repeat(count: number, interval = 0): void {
    for (let index = 0; index < count; index += 1) {
      faults.handle('x', 'uncaughtException');
      clock.advance(interval);
    }
  }

  beforeEach(() => {
    clock = new ManualClock();
    steps = [];
    hasStarted = true;
    peerCount = 1;
    faults = create(() => undefined);
  });

  it('records each fault', () => {
    faults = create((error, origin) => steps.push([error, origin]));
    faults.handle('x', 'unhandledRejection');
    expect(steps).toEqual([['x', 'unhandledRejection']]);
  });

  /** Lets faults repeat for as long as a shutdown may be delayed. */
  const repeatThroughDelay = () => {
    const interval = faultOptions.window / (faultOptions.maxFaults + 1) / 2;
    repeat(Math.ceil(faultOptions.maxDelay / interval), interval);
  };

  it('shuts the process down once, after a delay, if faults repeat within the window', () => {
    repeat(faultOptions.maxFaults + 10);
    expect(steps).toEqual([]);
    repeatThroughDelay();
    expect(steps[0]).toBe('shut down: x');
  });

  it('goes on if the faults have stopped when the delay has passed', () => {
    repeat(faultOptions.maxFaults + 10);
    clock.advance(faultOptions.maxDelay);
    expect(steps).toEqual([]);
  });

  it('goes on after any number of faults that are far apart', () => {
    repeat(20, faultOptions.window / faultOptions.maxFaults);
    clock.advance(faultOptions.maxDelay);
    expect(steps).toEqual([]);
  });

  // Guards against a fleet whose last daemon ends for a fault that all of them meet.
  it('goes on if no other process is left when the delay has passed', () => {
    repeat(faultOptions.maxFaults + 1);
    peerCount = 0;
    repeatThroughDelay();
    expect(steps).toEqual([]);
    peerCount = 1;
    repeatThroughDelay();
    repeatThroughDelay();
    expect(steps[0]).toBe('shut down: x');
  });

  // Guards against a fleet that restarts all the time for a fault that follows each start.
  it('shuts a process that is restarted at once down twice a day at most, however many faults it meets', () => {
    const day = 24 * 60 * 60 * 1_000;
    let startedAt = 0;
    let ends = 0;
    faults = new FaultHandler({
      clock,
      random: createRandom(1),
      hasStarted: () => true,
      getUptime: () => clock.now() - startedAt,
      countPeers: () => 7,
      record: () => undefined,
      shutDown: () => {
        ends += 1;
        startedAt = clock.now();
      },
      end: () => steps.push('end'),
    });
    startedAt = clock.now();
    repeat(day / 10_000, 10_000);
    expect(ends).toBeGreaterThan(0);
    expect(ends).toBeLessThanOrEqual(2);
    expect(steps).toEqual([]);
  });

  // Guards against daemons that restart at the same time for a fault that all of them meet.
  it('lets few of the processes that meet the same fault drain at the same time', () => {
    const drain = 8_000;
    const count = 8;
    const starts: number[] = [];
    const fleet = Array.from(
      { length: count },
      (_none, index) =>
        new FaultHandler({
          clock,
          random: createProcessRandom({ host: `edge-${index}`, pid: 1, startedAt: 0 }),
          hasStarted: () => true,
          getUptime: () => faultOptions.minUptime,
          countPeers: () => count - 1,
          record: () => undefined,
          shutDown: () => starts.push(clock.now()),
          end: () => steps.push('end'),
        }),
    );
    for (let time = 0; starts.length < count && time < faultOptions.maxDelay; time += 1_000) {
      fleet.forEach((handler) => handler.handle('x', 'uncaughtException'));
      clock.advance(1_000);
    }
    const together = starts.map(
      (start) => starts.filter((other) => other >= start && other < start + drain).length,
    );
    expect(starts.length).toBeGreaterThanOrEqual(count - 1);
    expect(Math.max(...together)).toBeLessThanOrEqual(count / 4);
  });

  // Guards against a daemon that serves, and ends at once since it can't decide about a fault.
  it('goes on if it can not decide', () => {
    faults = new FaultHandler({
      clock,
      random: createRandom(1),
      hasStarted: () => true,
      getUptime: () => faultOptions.minUptime,
      countPeers: () => {
        throw new Error('unknown');
      },
      record: () => undefined,
      shutDown: () => steps.push('shut down'),
      end: () => steps.push('end'),
    });
    repeat(faultOptions.maxFaults + 1);
    clock.advance(faultOptions.maxDelay);
    expect(steps).toEqual([]);
  });

  it('ends a process that has not started at once, also if the fault can not be recorded', () => {
    hasStarted = false;
    faults = create(() => {
      throw new Error('closed');
    });
    faults.handle('x', 'uncaughtException');
    expect(steps).toEqual(['end: x']);
  });
});
