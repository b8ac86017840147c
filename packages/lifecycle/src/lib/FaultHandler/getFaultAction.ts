import type { Milliseconds } from '@apricotrill/utils';

/** What a process does after an error that no handler has caught. */
export enum FaultAction {
  GoOn = 'go-on',
  /** Completes its requests and ends. */
  ShutDown = 'shut-down',
  /** Ends at once. */
  End = 'end',
}

/** When a process that meets unexpected errors ends. */
export const faultOptions = {
  /** Faults within the window after which a process still goes on. */
  maxFaults: 3,
  window: 60_000 satisfies Milliseconds,
  /** A process that has run for less goes on: a fault that follows each start must not end it again and again. */
  minUptime: 60_000 satisfies Milliseconds,
  /** Processes that meet the same fault shut down after different delays of up to this long. */
  maxDelay: 10_000 satisfies Milliseconds,
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
