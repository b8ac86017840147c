import { exhaustiveSwitchError } from '@apricotrill/utils';
import type { Clock, Milliseconds, Random } from '@apricotrill/utils';
import { FaultAction, faultOptions, getFaultAction } from './getFaultAction.js';

/**
 * Dependencies of {@link FaultHandler}.
 *
 * @public
 */
export interface FaultHandlerParts {
  clock: Clock;
  random: Random;
  hasStarted: () => boolean;
  getUptime: () => Milliseconds;
  /** Returns how many other processes can serve in place of this one. */
  countPeers: () => number;
  /** Logs and counts a fault. */
  record: (error: unknown, origin: string) => void;
  /** Completes open requests and ends the process. */
  shutDown: (error: unknown) => void;
  /** Ends the process at once. */
  end: (error: unknown) => void;
}

/**
 * Handles errors that no other handler has caught.
 *
 * @example
 * ```ts
 * const faults = new FaultHandler(parts);
 * process.on('uncaughtException', (error, origin) => faults.handle(error, origin));
 * ```
 * @public
 */
export class FaultHandler {
  /** Times of the faults within the window; no more than it takes to decide. */
  private times: Milliseconds[] = [];

  private isShutdownScheduled = false;

  constructor(private readonly parts: FaultHandlerParts) {}

  /**
   * Handles an error; throws none.
   *
   * @param origin - where the error was noticed, for the log
   */
  handle(error: unknown, origin: string): void {
    try {
      this.parts.record(error, origin);
    } catch {
      // An error that can't be recorded counts nevertheless.
    }
    try {
      this.react(error);
    } catch {
      // A process that can't decide whether to end goes on.
    }
  }

  private react(error: unknown): void {
    this.times.push(this.parts.clock.now());
    const action = this.getAction();
    switch (action) {
      case FaultAction.GoOn:
        return;
      case FaultAction.ShutDown:
        this.scheduleShutdown(error);
        return;
      case FaultAction.End:
        this.parts.end(error);
        return;
      default:
        throw exhaustiveSwitchError(action);
    }
  }

  private getAction(): FaultAction {
    const { clock, hasStarted, getUptime, countPeers } = this.parts;
    const now = clock.now();
    this.times = this.times
      .filter((time) => now - time < faultOptions.window)
      .slice(-faultOptions.maxFaults - 1);
    return getFaultAction({
      hasStarted: hasStarted(),
      uptime: getUptime(),
      faultCount: this.times.length,
      peerCount: countPeers(),
    });
  }

  /** By the end of the delay, others that meet the same fault may have shut down, or the faults may have stopped. */
  private scheduleShutdown(error: unknown): void {
    if (this.isShutdownScheduled) {
      return;
    }
    this.isShutdownScheduled = true;
    const { clock, random, shutDown } = this.parts;
    clock.setTimer(random.next() * faultOptions.maxDelay, () => {
      this.isShutdownScheduled = false;
      if (this.getAction() === FaultAction.ShutDown) {
        shutDown(error);
      }
    });
  }
}
