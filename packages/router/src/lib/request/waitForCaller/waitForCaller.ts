import type { Clock, Milliseconds, Timer } from '@apricotrill/utils';
import type { ServerResponse } from 'node:http';
import { routerOptions } from '../../options.js';

/**
 * How a slow caller is waited for.
 *
 * @internal
 */
export interface CallerWait {
  response: ServerResponse;
  clock: Clock;
  /** How often to say that the wait goes on. */
  beat: Milliseconds;
  /** The caller is slow, nothing else is wrong. */
  onBeat: () => void;
}

/**
 * Waits until a caller can take more of its answer. One that takes nothing for a long time holds a
 * slot of the engine for nobody: it counts as gone, and its connection ends.
 *
 * @param wait - whom to wait for
 * @returns resolves when the caller can take more, or has gone
 * @example
 * ```ts
 * await waitForCaller({ response, clock, beat: 1000, onBeat: () => onProgress(0) });
 * ```
 * @internal
 */
export function waitForCaller({ response, clock, beat, onBeat }: CallerWait): Promise<void> {
  return new Promise((resolve) => {
    let left: Milliseconds = routerOptions.callerStall;
    let timer: Timer;
    const tick = () => {
      left -= beat;
      if (left <= 0) {
        response.destroy();
        return;
      }
      onBeat();
      timer = clock.setTimer(beat, tick);
    };
    const end = () => {
      timer.cancel();
      response.off('drain', end);
      response.off('close', end);
      resolve();
    };
    timer = clock.setTimer(beat, tick);
    response.once('drain', end);
    response.once('close', end);
  });
}
