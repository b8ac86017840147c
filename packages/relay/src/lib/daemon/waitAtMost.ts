import type { Clock, Milliseconds } from '@apricotrill/utils';

/**
 * Waits for something that may never come, and no longer than a span.
 *
 * @example
 * ```ts
 * await waitAtMost(unlisted, clock, 500);
 * ```
 */
export function waitAtMost(
  wanted: Promise<unknown>,
  clock: Clock,
  span: Milliseconds,
): Promise<void> {
  return new Promise((resolve) => {
    const timer = clock.setTimer(span, resolve);
    const end = () => {
      timer.cancel();
      resolve();
    };
    wanted.then(end, end);
  });
}
