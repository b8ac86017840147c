import type { Clock, Milliseconds } from '@apricotrill/utils';

/** Resolves after a span of the clock. */
export function delay(clock: Clock, span: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.setTimer(span, resolve);
  });
}

/**
 * The promise's value, or a fallback when it fails or takes too long. What arrives later is
 * dropped.
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
