import type { Clock, Milliseconds, Timer } from './Clock.js';

interface PendingTimer {
  due: Milliseconds;
  order: number;
  callback: () => void;
}

/** Sorts by time, then by the order of setting, so that runs repeat exactly. */
function compareTimers(left: PendingTimer, right: PendingTimer): number {
  return left.due - right.due || left.order - right.order;
}

/**
 * A clock that moves only when told to; timers run in order of their due time. The queue is a
 * binary heap, since experiments hold hundreds of thousands of timers.
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

  private order = 0;

  private readonly heap: PendingTimer[] = [];

  private readonly cancelled = new WeakSet<PendingTimer>();

  /** @param start - the first reading, in milliseconds */
  constructor(start: Milliseconds = 0) {
    this.time = start;
  }

  now(): Milliseconds {
    return this.time;
  }

  setTimer(delay: Milliseconds, callback: () => void): Timer {
    this.order += 1;
    const timer = { due: this.time + Math.max(0, delay), order: this.order, callback };
    this.push(timer);
    return { cancel: () => this.cancelled.add(timer) };
  }

  /** Moves time forward, running each timer that falls due at its own time. */
  advance(span: Milliseconds): void {
    const end = this.time + span;
    while (this.runNext(end));
    this.time = end;
  }

  /**
   * Jumps to the next timer and runs it.
   *
   * @param limit - timers due later than this stay pending
   * @returns false when no timer is due up to the limit
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
