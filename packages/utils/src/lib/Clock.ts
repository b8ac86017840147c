/**
 * The project's interface to time. All code that depends on time takes a clock, so that tests and
 * experiments can control it.
 */

/**
 * A point in time or a duration, in milliseconds.
 *
 * @public
 */
export type Milliseconds = number;

/**
 * A pending callback that can be cancelled.
 *
 * @public
 */
export interface Timer {
  /** Cancels the callback; does nothing after it ran. */
  cancel(): void;
}

/**
 * A source of time and timers.
 *
 * @public
 */
export interface Clock {
  /** Returns the milliseconds since the Unix epoch; never decreases within a process. */
  now(): Milliseconds;
  /** Runs the callback once, `delay` milliseconds from now. */
  setTimer(delay: Milliseconds, callback: () => void): Timer;
}
