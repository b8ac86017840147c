import type { Clock, Milliseconds } from '@apricotrill/utils';

/** Resolves after a delay on the given clock. */
export function delay(clock: Clock, span: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(span, resolve);
  });
}

/**
 * Returns the value of a promise, or the fallback when it rejects or times out. A result that
 * arrives later is ignored.
 */
export function withTimeout<Value, Fallback>(
  clock: Clock,
  timeout: Milliseconds,
  promise: Promise<Value>,
  fallback: Fallback,
): Promise<Value | Fallback> {
  return new Promise((resolve) => {
    const timer = clock.setTimer(timeout, () => resolve(fallback));
    const end = (value: Value | Fallback) => {
      timer.cancel();
      resolve(value);
    };
    promise.then(end, () => end(fallback));
  });
}
