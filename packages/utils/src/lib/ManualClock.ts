import type { Clock, Milliseconds, Timer } from './Clock.js';

interface PendingTimer {
  due: Milliseconds;
  sequence: number;
  callback: () => void;
}

/**
 * Sorts by due time, then by the order in which the timers were set, so that runs are reproducible.
 */
function compareTimers(left: PendingTimer, right: PendingTimer): number {
  return left.due - right.due || left.sequence - right.sequence;
}

/**
 * A clock that advances only when told to, and runs timers in order of their due time. The queue is
 * a binary heap because experiments have hundreds of thousands of pending timers.
 *
 * @example
 * ```ts
 * const clock = new ManualClock();
 * clock.setTimer(100, () => calls.push('late'));
 * clock.advance(100);
 * ```
 * @public
 */
export class ManualClock implements Clock {
  private time: Milliseconds;

  private sequence = 0;

  private readonly heap: PendingTimer[] = [];

  private readonly cancelled = new WeakSet<PendingTimer>();

  /** @param start - the initial time, in milliseconds */
  constructor(start: Milliseconds = 0) {
    this.time = start;
  }

  now(): Milliseconds {
    return this.time;
  }

  setTimer(delay: Milliseconds, callback: () => void): Timer {
    this.sequence += 1;
    const timer = { due: this.time + Math.max(0, delay), sequence: this.sequence, callback };
    this.push(timer);
    return { cancel: () => this.cancelled.add(timer) };
  }

  /** Advances the time, and runs each timer that is due on the way at its own due time. */
  advance(duration: Milliseconds): void {
    const end = this.time + duration;
    while (this.runNext(end));
    this.time = end;
  }

  /**
   * Advances to the next timer and runs it.
   *
   * @param limit - timers due later than this stay pending
   * @returns false if no timer is due up to the limit
   */
  runNext(limit: Milliseconds = Number.POSITIVE_INFINITY): boolean {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.due > limit) {
        return false;
      }
      this.pop();
      if (!this.cancelled.has(first)) {
        this.time = first.due;
        first.callback();
        return true;
      }
    }
  }

  private push(timer: PendingTimer): void {
    const { heap } = this;
    let index = heap.push(timer) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (compareTimers(heap[parent]!, timer) <= 0) {
        break;
      }
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  private pop(): void {
    const { heap } = this;
    const last = heap.pop()!;
    if (heap.length === 0) {
      return;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) {
        break;
      }
      if (child + 1 < heap.length && compareTimers(heap[child + 1]!, heap[child]!) < 0) {
        child += 1;
      }
      if (compareTimers(last, heap[child]!) <= 0) {
        break;
      }
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}
