import type { Clock, Milliseconds, Timer } from './Clock.js';

/** Longer timers of the platform fire at once. */
const MAX_DELAY: Milliseconds = 2_147_483_647;

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

  setTimer(delay: Milliseconds, callback: () => void): Timer {
    const endsAt = this.now() + delay;
    let timeout: NodeJS.Timeout;
    const wait = (left: Milliseconds) => {
      timeout =
        left > MAX_DELAY
          ? setTimeout(() => wait(endsAt - this.now()), MAX_DELAY)
          : setTimeout(callback, Math.max(0, left));
    };
    wait(delay);
    return { cancel: () => clearTimeout(timeout) };
  }
}
