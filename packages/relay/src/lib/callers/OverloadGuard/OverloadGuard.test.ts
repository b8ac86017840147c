import { ManualClock } from '@apricotrill/utils';
import { OverloadGuard } from './OverloadGuard.js';
import { overloadOptions } from './overloadOptions.js';

const { maxIteration, recoveredIteration, requiredMeasurements, peerExpiry } = overloadOptions;

describe('OverloadGuard', () => {
  let clock: ManualClock;
  let guard: OverloadGuard;
  let changes: boolean[];
  let callbacks: (() => void)[];

  beforeEach(() => {
    clock = new ManualClock();
    changes = [];
    callbacks = [];
    guard = new OverloadGuard({
      clock,
      afterIteration: (callback) => callbacks.push(callback),
      countPeers: () => 4,
      onChanged: (isOverloaded) => changes.push(isOverloaded),
    });
  });

  /** Lets connections arrive during an iteration. @returns whether the last one is refused */
  function runIteration(duration: number): boolean {
    guard.shouldRefuse();
    clock.advance(duration);
    callbacks.splice(0).forEach((callback) => callback());
    return guard.shouldRefuse();
  }

  function overload(): void {
    for (let count = 0; count < requiredMeasurements; count += 1) {
      runIteration(maxIteration);
    }
  }

  it('measures one iteration at a time', () => {
    guard.shouldRefuse();
    guard.shouldRefuse();
    expect(callbacks).toHaveLength(1);
  });

  // Guards against refusing callers for a single garbage collection.
  it('refuses connections after consecutive long iterations only', () => {
    expect(runIteration(maxIteration)).toBe(false);
    expect(runIteration(1)).toBe(false);
    expect(runIteration(maxIteration)).toBe(false);
    expect(runIteration(maxIteration)).toBe(true);
    expect(changes).toEqual([true]);
    expect(guard.getPeriodicUpdates()).toEqual([{ kind: 'overload', isOverloaded: true }]);
  });

  it('accepts connections again once an iteration is short', () => {
    overload();
    expect(runIteration(recoveredIteration + 1)).toBe(true);
    expect(runIteration(recoveredIteration)).toBe(false);
    expect(changes).toEqual([true, false]);
  });

  // Guards against a fleet that refuses all callers because each daemon is overloaded.
  it('refuses nothing while half of the other daemons are overloaded as well', () => {
    overload();
    expect(guard.shouldRefuse()).toBe(true);
    guard.recordPeer('d-1', { kind: 'overload', isOverloaded: true });
    expect(guard.shouldRefuse()).toBe(true);
    guard.recordPeer('d-2', { kind: 'overload', isOverloaded: true });
    expect(guard.shouldRefuse()).toBe(false);
    guard.recordPeer('d-2', { kind: 'overload', isOverloaded: false });
    expect(guard.shouldRefuse()).toBe(true);
    guard.recordPeer('d-3', { kind: 'overload', isOverloaded: true });
    clock.advance(peerExpiry);
    expect(guard.shouldRefuse()).toBe(true);
  });

  it('refuses nothing if it knows no other daemon', () => {
    const alone = new OverloadGuard({
      clock,
      afterIteration: (callback) => callbacks.push(callback),
      countPeers: () => 0,
      onChanged: () => undefined,
    });
    for (let count = 0; count <= requiredMeasurements; count += 1) {
      alone.shouldRefuse();
      clock.advance(maxIteration);
      callbacks.splice(0).forEach((callback) => callback());
    }
    expect(alone.shouldRefuse()).toBe(false);
  });
});
