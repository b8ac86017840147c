import type { Clock, Milliseconds, Timer } from './Clock.js';

/**
 * A monotonic clock based on the machine's time: a step of the wall clock must not shorten a
 * timeout.
 *
 * @example
 * ```ts
 * const clock = new SystemClock();
 * ```
 * @public
 */
export class SystemClock implements Clock {
  private readonly origin = Date.now() - performance.now();

  now(): Milliseconds {
    return this.origin + performance.now();
  }

  // eslint-disable-next-line class-methods-use-this
  setTimer(delay: Milliseconds, callback: () => void): Timer {
    const timeout = setTimeout(callback, Math.max(0, delay));
    return { cancel: () => clearTimeout(timeout) };
  }
}
