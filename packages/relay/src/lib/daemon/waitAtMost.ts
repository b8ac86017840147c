import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * Waits until a promise is settled, or until the timeout. Never rejects.
 *
 * @example
 * ```ts
 * await waitAtMost(departure, clock, 500);
 * ```
 */
export function waitAtMost(
  promise: Promise<unknown>,
  clock: Clock,
  timeout: Milliseconds,
): Promise<void> {
  return new Promise((resolve) => {
    const timer = clock.setTimer(timeout, resolve);
    const finish = () => {
      timer.cancel();
      resolve();
    };
    promise.then(finish, finish);
  });
}
