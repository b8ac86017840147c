import type { Milliseconds } from '@apricotrill/utils';

/** What a process does after an error that no handler has caught. */
export enum FaultAction {
  GoOn = 'go-on',
  /** Completes its requests and ends. */
  ShutDown = 'shut-down',
  /** Ends at once. */
  End = 'end',
}

const MINUTE: Milliseconds = 60_000;

const HOUR = 60 * MINUTE;

/** When a process that meets unexpected errors ends. */
export const faultOptions = {
  /** Faults within the window after which a process still goes on. */
  maxFaults: 3,
  window: MINUTE,
  /**
   * A process that has run for less goes on: a fault that follows each start must not end it again and again. Without
   * a memory of earlier starts, this alone bounds how often it ends: twice a day.
   */
  minUptime: 12 * HOUR,
  /**
   * Processes that meet the same fault shut down after different delays of up to this long, so that few of them drain
   * at the same time. One at which faults no longer repeat by then goes on.
   */
  maxDelay: 10 * MINUTE,
};

/** What the decision about a fault depends on. */
export interface FaultSituation {
  /** Whether the process has started. */
  hasStarted: boolean;
  uptime: Milliseconds;
  /** Faults within the window, with the latest one. */
  faultCount: number;
  /** Other processes that can serve in its place. */
  peerCount: number;
}

/**
 * Decides what a process does after an error that no handler has caught. A single one rarely affects more than what
 * it interrupted. If they repeat, the state of the process can't be trusted.
 *
 * @example
 * ```ts
 * getFaultAction({ hasStarted: true, uptime: 90_000, faultCount: 1, peerCount: 2 }); // FaultAction.GoOn
 * ```
 */
export function getFaultAction({
  hasStarted,
  uptime,
  faultCount,
  peerCount,
}: FaultSituation): FaultAction {
  if (!hasStarted) {
    return FaultAction.End;
  }
  const mayEnd = uptime >= faultOptions.minUptime && peerCount > 0;
  return mayEnd && faultCount > faultOptions.maxFaults ? FaultAction.ShutDown : FaultAction.GoOn;
}
