import { abortResponse } from '@apricotrill/callers';
import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import { defaultRouterOptions } from '../../options.js';

/**
 * Options of {@link waitForCaller}.
 *
 * @internal
 */
export interface WaitForCallerOptions {
  response: ServerResponse;
  clock: Clock;
  /** How often to report that the wait continues. */
  interval: Milliseconds;
  /** Called at each interval while the caller is slow and nothing else is wrong. */
  onWaiting: () => void;
}

/**
 * Waits until a slow caller can accept more of its response. A caller that reads nothing within the
 * stall timeout occupies a slot of the engine to no purpose, so its connection is closed.
 *
 * @returns resolves when the caller can accept more, or has disconnected
 * @example
 * ```ts
 * await waitForCaller({ response, clock, interval: 1000, onWaiting: () => onProgress(0) });
 * ```
 * @internal
 */
export function waitForCaller({
  response,
  clock,
  interval,
  onWaiting,
}: WaitForCallerOptions): Promise<void> {
  return new Promise((resolve) => {
    let remaining: Milliseconds = defaultRouterOptions.callerStallTimeout;
    let timer: Timer;
    const tick = () => {
      remaining -= interval;
      if (remaining <= 0) {
        abortResponse(response);
        return;
      }
      onWaiting();
      timer = clock.setTimer(interval, tick);
    };
    const end = () => {
      timer.cancel();
      response.off('drain', end);
      response.off('close', end);
      resolve();
    };
    timer = clock.setTimer(interval, tick);
    response.once('drain', end);
    response.once('close', end);
  });
}
