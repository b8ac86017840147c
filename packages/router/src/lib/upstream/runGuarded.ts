import { AttemptEnd } from '@apricotrill/policy';
import type { Clock } from '@apricotrill/utils';
import type { Attempt, AttemptResult } from './Attempt.js';
import { getEndOfError } from './getEndOfError.js';
import { SilenceGuard } from './SilenceGuard.js';

/**
 * Runs an exchange with a replica under its silence limit and turns whatever it throws into how
 * the attempt ended.
 *
 * @param attempt - the attempt with its limits and its cancel signal
 * @param clock - where time comes from
 * @param exchange - talks to the replica; the signal ends it
 * @returns how the attempt ended; it never throws
 * @example
 * ```ts
 * return runGuarded(attempt, clock, (guard, signal) => exchange(dispatcher, attempt, guard, signal));
 * ```
 * @internal
 */
export async function runGuarded(
  attempt: Attempt,
  clock: Clock,
  exchange: (guard: SilenceGuard, signal: AbortSignal) => Promise<AttemptResult>,
): Promise<AttemptResult> {
  const silence = new AbortController();
  const guard = new SilenceGuard(clock, attempt.firstTokenTimeout, () => silence.abort());
  const signal = AbortSignal.any([attempt.signal, silence.signal]);
  try {
    return await exchange(guard, signal);
  } catch (error) {
    if (attempt.signal.aborted) {
      return { end: AttemptEnd.Cancelled, detail: 'cancelled' };
    }
    if (silence.signal.aborted) {
      return { end: AttemptEnd.Broken, silent: true, detail: 'silent for too long' };
    }
    return { end: getEndOfError(error), detail: String(error) };
  } finally {
    guard.dispose();
  }
}
