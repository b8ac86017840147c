/**
 * Time as the whole project sees it: one small clock, in milliseconds. Everything that decides
 * takes a clock, so that tests and experiments move time themselves.
 */

/**
 * A point in time or a span, in milliseconds.
 *
 * @public
 */
export type Milliseconds = number;

/**
 * A pending callback that can be called off.
 *
 * @public
 */
export interface Timer {
  /** Calls the callback off; harmless after it ran. */
  cancel(): void;
}

/**
 * Where time comes from.
 *
 * @public
 */
export interface Clock {
  /** Milliseconds since the epoch; it never goes back within a process. */
  now(): Milliseconds;
  /** Runs the callback once, `delay` milliseconds from now. */
  setTimer(delay: Milliseconds, callback: () => void): Timer;
}
